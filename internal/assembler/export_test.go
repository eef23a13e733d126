package assembler

import (
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// ChainWith returns the VM's chain with another last filter.
func (v *VM) ChainWith(last handler.Filter) *handler.Chain { return v.chain(last) }

// Now returns the present instant of the VM's clock.
func (v *VM) Now() timer.Instant { return v.timers.Now() }
