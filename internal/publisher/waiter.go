package publisher

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// callTimeout is the timeout of the call to one VM.
	callTimeout = 2 * time.Second
	// maxCalls is the maximum number of concurrent calls to VMs.
	maxCalls = 32
)

// VM is a VM on which a version has to come into force.
type VM struct {
	name    string
	address string
}

// NewVM returns a VM with its name and the address at which it is called.
func NewVM(name, address string) VM {
	return VM{
		name:    name,
		address: address,
	}
}

type fleet interface {
	// VMs returns the VMs of the fleet.
	VMs(ctx context.Context) ([]VM, error)
	// InForce reports whether the version, or a later one, is in force on the VM at
	// the address; progress describes how far the VM has come.
	InForce(ctx context.Context, address string, v manifester.Version) (in bool, progress string, err error)
}

// Wait waits until the version, or a later one, is in force on every VM, and returns
// the number of VMs. The error is a *LagError if it is not yet in force on some of them
// when the publisher's timeout has passed.
func (p *Publisher) Wait(ctx context.Context, f fleet, v manifester.Version) (int, error) {
	end := p.timers.Now().Add(p.timeout)
	for {
		vms, err := f.VMs(ctx)
		if err != nil {
			return 0, err
		}
		laggards := lagging(ctx, f, vms, v)
		if len(laggards) == 0 {
			return len(vms), nil
		}
		if !p.timers.Now().Before(end) {
			return 0, &LagError{
				version:  v,
				laggards: laggards,
			}
		}
		if err := p.pause(ctx); err != nil {
			return 0, err
		}
	}
}

// lagging calls the VMs, up to maxCalls at a time, and returns those on which the
// version is not in force or not known to be.
func lagging(ctx context.Context, f fleet, vms []VM, v manifester.Version) []Laggard {
	reasons := make([]string, len(vms))
	slots := make(chan struct{}, maxCalls)
	var wg sync.WaitGroup
	for i, m := range vms {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			reasons[i] = callVM(ctx, f, m, v)
		})
	}
	wg.Wait()
	var laggards []Laggard
	for i, reason := range reasons {
		if reason != "" {
			laggards = append(laggards, Laggard{
				name:   vms[i].name,
				reason: reason,
			})
		}
	}

	return laggards
}

// callVM returns "" if the version is in force on the VM, else the VM's progress, or that
// the progress could not be read.
func callVM(ctx context.Context, f fleet, m VM, v manifester.Version) string {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	in, progress, err := f.InForce(limited, m.address, v)
	switch {
	case err != nil:
		return fmt.Sprintf("its progress could not be read at %s", m.address)
	case in:
		return ""
	default:
		return progress
	}
}
