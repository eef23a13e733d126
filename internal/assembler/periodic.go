package assembler

import (
	"context"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// removalPeriod is the time between two removals of the metrics of routes and targets
	// that are gone and of the risks of targets without recent evidence.
	removalPeriod = 30 * time.Second
	// dropCheckPeriod is the time between two checks for dropped log lines.
	dropCheckPeriod = 5 * time.Second
)

// periodic is a controller that runs a task at fixed intervals.
type periodic struct {
	name   string
	period time.Duration
	timers *timer.Service
	task   func(now timer.Instant)
}

// Name returns the controller's name.
func (p *periodic) Name() string { return p.name }

// Run runs the task once per period until ctx ends.
func (p *periodic) Run(ctx context.Context) error {
	p.timers.Every(p.period).Each(ctx, p.task)

	return nil
}

// dropReporter returns a task that logs the total number of dropped log lines when it
// has changed.
func dropReporter(lines *logger.Queue, l *logger.Logger) func(timer.Instant) {
	reported := int64(0)

	return func(timer.Instant) {
		if n := lines.Dropped(); n != reported {
			reported = n
			l.Log(logger.LinesDropped, logger.Int("count", n))
		}
	}
}
