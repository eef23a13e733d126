package assembler

import (
	"context"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// forgetPeriod is the time between two looks for targets to forget.
const forgetPeriod = 30 * time.Second

// memory drops what it has not heard of for long.
type memory interface {
	Forget(now timer.Instant)
}

// forgetter is the controller that keeps the memory of targets bounded.
type forgetter struct {
	memory memory
	timers *timer.Service
}

// Name returns the controller's name.
func (f *forgetter) Name() string { return "forgetter" }

// Run drops old targets until ctx ends.
func (f *forgetter) Run(ctx context.Context) error {
	f.timers.Every(forgetPeriod).Each(ctx, f.memory.Forget)

	return nil
}
