package assembler

import (
	"context"
	"io"
	"net"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/adopter"
	"github.com/lagoonkeel/lagoonkeel/internal/assigner"
	"github.com/lagoonkeel/lagoonkeel/internal/configurer"
	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/evacuator"
	"github.com/lagoonkeel/lagoonkeel/internal/forwarder"
	"github.com/lagoonkeel/lagoonkeel/internal/gossiper"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/hedger"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/pacer"
	"github.com/lagoonkeel/lagoonkeel/internal/placer"
	"github.com/lagoonkeel/lagoonkeel/internal/quarantiner"
	"github.com/lagoonkeel/lagoonkeel/internal/queuer"
	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/splitter"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/watcher"
	"github.com/lagoonkeel/lagoonkeel/platform/adapter"
)

// StoreVM is the process of one VM of a fleet that runs on the platform's store
// alone.
type StoreVM struct {
	process

	// lines holds the log lines that wait to be written.
	lines     *logger.Queue
	dialect   *handler.Dialect
	store     *adapter.Client
	adopter   *adopter.Adopter
	registrar *registrar.Registrar
	evacuator *evacuator.Evacuator
	estimator *estimator.Estimator
	tallier   *tallier.Tallier
	watcher   *watcher.Watcher
	placer    *placer.Placer
	splitter  *splitter.Splitter
	// assigner is nil if this VM prefers no targets.
	assigner *assigner.Assigner
	pacer    *pacer.Pacer
	// rooms and queue are nil where the setting queue is off.
	rooms   *placer.Rooms
	queue   *queuer.Queuer
	retries *retrier.SharedRetrier
	// spacing is nil without the setting that delays retries after rejections.
	spacing *spacing
	// hedger is nil where no request is hedged.
	hedger   *hedger.Hedger
	gossiper *gossiper.Gossiper
	// quarantine refuses requests that crash their targets.
	quarantine *quarantiner.Quarantiner
}

// SettingsPath returns the path of the settings file that the platform provides, or
// "" where it provides none.
func SettingsPath() string { return os.Getenv(adapter.SettingsVariable) }

// NewStoreVM opens the sockets and builds the process.
func NewStoreVM(s *configurer.Settings, out io.Writer) (*StoreVM, error) {
	lines := logger.NewQueue(out)
	l := logger.New(lines, s.LogFormat(), s.ID())
	base, err := newProcess(s, l)
	if err != nil {
		return nil, err
	}
	v := &StoreVM{
		process:   base,
		lines:     lines,
		dialect:   adapter.Dialect(),
		store:     adapter.NewClient(s.Store(), base.timers),
		adopter:   adopter.New(adapter.ConfigKey, adapter.DecodeConfig, l),
		registrar: registrar.New(adapter.DecodeTarget, l),
		splitter:  splitter.New(),
	}
	v.evacuator = evacuator.New(adapter.DecodeEvacuation, v.registrar, l)
	v.estimator = estimator.New(&suspicionLog{
		names:  v.registrar,
		logger: l,
	})
	v.tallier = tallier.New(v.timers.Now(), newLimits(v.adopter, s.Retries(), s.RetrySpacing()).withHedging(s))
	v.watcher = watcher.New(v.tallier)
	v.retries = retrier.NewSharedRetrier(v.tallier)
	if s.RetrySpacing() {
		v.spacing = newSpacing(v.tallier, s.Retries())
	}
	v.hedger = newHedger(v)
	reports, err := (&net.ListenConfig{}).ListenPacket(context.Background(), "udp4", s.Peers())
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s; is another process using it?", s.Peers())
	}
	v.addGossip(reports)
	v.addQueue()
	v.transport = forwarder.NewTransport(v.timers, v.dialect, v.bodies, v.connections)
	callers, err := bind(s.Callers())
	if err != nil {
		return nil, err
	}
	operators, err := bind(s.Operators())
	if err != nil {
		return nil, err
	}
	v.listener = v.newListener(callers, v.chain(), v.adopter, v.dialect)
	v.stopper = &stopper{
		grace:    s.StopGrace(),
		listener: v.listener,
		timers:   v.timers,
		logger:   l,
	}
	v.addControllers(newOperatorServer(operators, v.withWhere(v.operatorHandler())))
	if s.Metrics() != "" {
		ln, err := bind(s.Metrics())
		if err != nil {
			return nil, err
		}
		v.controllers = append(v.controllers, newOperatorServer(ln, v.operatorHandler()))
	}
	v.registerMetrics()

	return v, nil
}

// stopping reports whether a planned stop has begun.
func (v *StoreVM) stopping() bool { return v.stopper != nil && v.stopper.Stopping() }

// Ready reports whether the VM can serve requests: it has a configuration and the list
// of targets. It stays true while the VM stops; see inRotation.
func (v *StoreVM) Ready() bool { return v.adopter.Ready() && v.registrar.Ready() }

// inRotation reports whether the load balancer should send new connections to this VM.
func (v *StoreVM) inRotation() bool { return v.Ready() && !v.stopper.Stopping() }

// Run serves until ctx ends, then stops gracefully.
func (v *StoreVM) Run(ctx context.Context) error {
	defer v.lines.Flush()
	if err := v.run(ctx); err != nil {
		return err
	}

	return errors.Wrap(v.tracer.Close(context.WithoutCancel(ctx)), "stopping the VM")
}
