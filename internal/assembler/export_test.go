package assembler

import (
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// ChainWith returns the VM's filter chain with the given last filter.
func (v *VM) ChainWith(last handler.Filter) *handler.Chain { return v.chain(last) }

// Now returns the current instant of the VM's clock.
func (v *VM) Now() timer.Instant { return v.timers.Now() }
