package assembler

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/configurer"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/supervisor"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// lifetime runs the controllers of a process from its start to its planned stop.
type lifetime struct {
	settings    *configurer.Settings
	callers     string
	logger      *logger.Logger
	timers      *timer.Service
	stopper     *stopper
	controllers []supervisor.Controller
}

// run serves until ctx ends, then stops gracefully.
func (l *lifetime) run(ctx context.Context) error {
	l.logger.Log(logger.Started,
		logger.Text("callers", l.callers),
		logger.Text("peers", l.settings.Peers()),
		logger.Text("operators", l.settings.Operators()))
	start := l.timers.Now()
	running, finish := context.WithCancel(context.WithoutCancel(ctx))
	defer finish()
	l.stopper.asked = ctx
	l.stopper.finish = finish
	if err := supervisor.Run(running, l.controllers...); err != nil {
		l.logger.Log(logger.Failed, logger.Failure(err))

		return errors.Wrap(err, "running the VM")
	}
	l.logger.Log(logger.Stopped, logger.Millis("ran", l.timers.Now().Sub(start)))

	return nil
}
