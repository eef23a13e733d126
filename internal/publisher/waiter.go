package publisher

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// askTimeout is the timeout of the call to one VM.
	askTimeout = 2 * time.Second
	// maxAsked is the maximum number of concurrent calls to VMs.
	maxAsked = 32
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

type asker interface {
	// VMs returns the VMs of the fleet.
	VMs(ctx context.Context) ([]VM, error)
	// InForce reports whether the version, or a later one, is in force on the VM at
	// the address; progress describes how far the VM has come.
	InForce(ctx context.Context, address string, v manifester.Version) (in bool, progress string, err error)
}

// Wait waits until the version, or a later one, is in force on every VM, and returns
// the number of VMs. The error is a *LagError if it is not yet in force on some of them
// when the publisher's timeout has passed.
func (p *Publisher) Wait(ctx context.Context, a asker, v manifester.Version) (int, error) {
	end := p.timers.Now().Add(p.timeout)
	for {
		vms, err := a.VMs(ctx)
		if err != nil {
			return 0, err
		}
		laggards := lagging(ctx, a, vms, v)
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

// lagging calls the VMs, up to maxAsked at a time, and returns those on which the
// version is not in force or not known to be.
func lagging(ctx context.Context, a asker, vms []VM, v manifester.Version) []Laggard {
	reasons := make([]string, len(vms))
	slots := make(chan struct{}, maxAsked)
	var wg sync.WaitGroup
	for i, m := range vms {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			reasons[i] = ask(ctx, a, m, v)
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

// ask returns "" if the version is in force on the VM, else the VM's progress, or that
// the call failed.
func ask(ctx context.Context, a asker, m VM, v manifester.Version) string {
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	in, progress, err := a.InForce(limited, m.address, v)
	switch {
	case err != nil:
		return fmt.Sprintf("no answer at %s", m.address)
	case in:
		return ""
	default:
		return progress
	}
}
