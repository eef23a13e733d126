package assembler

import (
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/internal/watcher"
)

// ChainWith returns the VM's filter chain with the given last filter.
func (v *VM) ChainWith(last handler.Filter) *handler.Chain { return v.chain(last) }

// Now returns the current instant of the VM's clock.
func (v *VM) Now() timer.Instant { return v.timers.Now() }

// HedgeCheck returns the function that tells the hedger of a VM with these counts whether
// a service is unfit for hedges.
func HedgeCheck(t *tallier.Tallier, spaced bool) func(now timer.Instant, service string) bool {
	v := &StoreVM{
		watcher: watcher.New(t),
	}
	if spaced {
		v.spacing = newSpacing(t, retrier.NewAllowance(retrier.DefaultRatio, retrier.DefaultExtra, retrier.DefaultWindow))
	}

	return v.unfitForHedges
}
