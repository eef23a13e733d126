package assembler

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/configurer"
	"github.com/lagoonkeel/lagoonkeel/internal/forwarder"
	"github.com/lagoonkeel/lagoonkeel/internal/listener"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/meter"
	"github.com/lagoonkeel/lagoonkeel/internal/reserver"
	"github.com/lagoonkeel/lagoonkeel/internal/supervisor"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/internal/tracer"
)

// process holds the parts that VM and StoreVM have in common.
type process struct {
	settings *configurer.Settings
	logger   *logger.Logger
	timers   *timer.Service
	meter    *meter.Meter
	tracer   *tracer.Tracer
	// bodies limits the memory that the bodies of requests and responses hold.
	bodies *reserver.Reserver
	// transport holds the connections to targets.
	transport *forwarder.Transport
	listener  *listener.Listener
	// stopper runs the listener and carries out the planned stop.
	stopper *stopper
	// controllers run from the start to the end of the process.
	controllers []supervisor.Controller
}

// newProcess returns a process without a listener, a transport and controllers.
func newProcess(s *configurer.Settings, l *logger.Logger) (process, error) {
	t, err := tracer.New(context.Background(), s.Tracing(), s.ID())
	if err != nil {
		return process{}, err
	}

	return process{
		settings: s,
		logger:   l,
		timers:   timer.NewService(),
		meter:    meter.New(),
		tracer:   t,
		bodies:   reserver.New(s.BodyMemory()),
	}, nil
}

// Closed reports whether a planned stop has come so far that no further request begins.
func (p *process) Closed() bool { return p.stopper != nil && p.stopper.Closed() }

// run serves until ctx ends, then stops gracefully.
func (p *process) run(ctx context.Context) error {
	p.logger.Log(logger.Started,
		logger.Text("callers", p.listener.Address()),
		logger.Text("peers", p.settings.Peers()),
		logger.Text("operators", p.settings.Operators()))
	start := p.timers.Now()
	running, stopControllers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControllers()
	p.stopper.stopRequested = ctx
	p.stopper.stopControllers = stopControllers
	if err := supervisor.Run(running, p.controllers...); err != nil {
		p.logger.Log(logger.Failed, logger.Failure(err))

		return errors.Wrap(err, "running the VM")
	}
	p.logger.Log(logger.Stopped, logger.Millis("ran", p.timers.Now().Sub(start)))

	return nil
}

// bind opens a TCP listener on the address.
func bind(address string) (net.Listener, error) {
	config := net.ListenConfig{}
	ln, err := config.Listen(context.Background(), "tcp", address)

	return ln, errors.Wrapf(err, "listening on %s; is another process using it?", address)
}
