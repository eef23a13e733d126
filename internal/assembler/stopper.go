package assembler

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

type callerListener interface {
	// Drain makes every later response close its connection.
	Drain()
	// Run serves until its context ends, then waits for open requests, for a bounded
	// time.
	Run(ctx context.Context) error
}

type clock interface {
	After(d time.Duration) *timer.Subscription
}

// leaver gives up what this VM holds in the fleet, so that other VMs need not wait
// until it has expired.
type leaver interface {
	Leave(ctx context.Context)
}

// stopper is the controller that runs the callers' listener and carries out the
// planned stop. First the VM reports that it is not ready, but goes on serving until
// the load balancer has noticed. Then it begins no further request, waits for open
// ones, for a bounded time, and leaves the fleet. Only then do the other controllers
// end.
type stopper struct {
	// stopRequested ends when the process is told to stop; set before Run.
	stopRequested context.Context //nolint:containedctx // It ends before the context of Run does.
	grace         time.Duration
	listener      callerListener
	timers        clock
	logger        *logger.Logger
	// leavers are called in order, once the listener has ended.
	leavers []leaver
	// stopControllers ends the context of all controllers, this one included; set
	// before Run.
	stopControllers context.CancelFunc
	stopping        atomic.Bool
	// closed is set once no further request is to begin.
	closed atomic.Bool
}

// Name returns the controller's name.
func (s *stopper) Name() string { return "stopper" }

// Stopping reports whether a planned stop has begun.
func (s *stopper) Stopping() bool { return s.stopping.Load() }

// Closed reports whether no further request is to begin, since the process may be killed
// before it has run.
func (s *stopper) Closed() bool { return s.closed.Load() }

// Run serves callers until the process is told to stop or ctx ends, and then
// carries out the stop.
func (s *stopper) Run(ctx context.Context) error {
	serving, stopServing := context.WithCancel(ctx)
	defer stopServing()
	served := make(chan error, 1)
	go func() {
		served <- s.listener.Run(serving)
	}()
	select {
	case err := <-served:
		return errors.Wrap(err, "serving callers")
	case <-s.stopRequested.Done():
	}
	s.stopping.Store(true)
	s.logger.Log(logger.Stopping, logger.Millis("grace", s.grace))
	s.listener.Drain()
	s.timers.After(s.grace).Await(ctx) // The load balancer has to notice that the VM is not ready.
	s.closed.Store(true)
	stopServing()
	err := <-served
	for _, l := range s.leavers {
		l.Leave(ctx)
	}
	s.stopControllers()

	return errors.Wrap(err, "answering open requests")
}
