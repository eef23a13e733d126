package publisher

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// askTimeout bounds the answer of one VM.
	askTimeout = 2 * time.Second
	// maxAsked bounds the VMs that are asked at once.
	maxAsked = 32
)

// VM is a VM that is asked which version is in force on it.
type VM struct {
	name    string
	address string
}

// NewVM returns a VM with the address that the asker calls.
func NewVM(name, address string) VM {
	return VM{
		name:    name,
		address: address,
	}
}

type asker interface {
	// VMs returns the VMs of the fleet.
	VMs(ctx context.Context) ([]VM, error)
	// InForce reports whether the version, or a later one, is in force at the
	// address; progress tells how far the VM is.
	InForce(ctx context.Context, address string, v manifester.Version) (in bool, progress string, err error)
}

// Wait waits until the version, or a later one, is in force on every VM, and
// returns their number. The error is a *LagError if some lag for longer than
// the publisher's patience.
func (p *Publisher) Wait(ctx context.Context, a asker, v manifester.Version) (int, error) {
	end := p.timers.Now().Add(p.patience)
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

// lagging asks the VMs, several at once, and returns those on which the version
// is not in force.
func lagging(ctx context.Context, a asker, vms []VM, v manifester.Version) []Laggard {
	answers := make([]string, len(vms))
	slots := make(chan struct{}, maxAsked)
	var wg sync.WaitGroup
	for i, m := range vms {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			answers[i] = ask(ctx, a, m, v)
		})
	}
	wg.Wait()
	var laggards []Laggard
	for i, reason := range answers {
		if reason != "" {
			laggards = append(laggards, Laggard{
				name:   vms[i].name,
				reason: reason,
			})
		}
	}

	return laggards
}

// ask returns "" if the version is in force on the VM, else the reason.
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
