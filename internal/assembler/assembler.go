// Package assembler builds the process of one VM from its settings: the filter
// chain, the controllers and the listeners.
package assembler

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/borrower"
	"github.com/lagoonkeel/lagoonkeel/internal/claimer"
	"github.com/lagoonkeel/lagoonkeel/internal/configurer"
	"github.com/lagoonkeel/lagoonkeel/internal/filterer"
	"github.com/lagoonkeel/lagoonkeel/internal/follower"
	"github.com/lagoonkeel/lagoonkeel/internal/forwarder"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/messenger"
	"github.com/lagoonkeel/lagoonkeel/internal/quarantiner"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// VM is the lagoonkeel process on one VM. Its fleet reads its configuration from the log
// and its members from the VM list.
type VM struct {
	process

	follower *follower.Follower
	vmList   *member.Watcher
	member   *member.Controller
	server   *messenger.Server
	pool     *messenger.Pool
	targets  *targetSelection
	// claims obtains claims for requests with idempotency keys.
	claims *claimer.Client
	// quarantine refuses requests that crash their targets.
	quarantine *quarantiner.Quarantiner
	// borrower admits callers' requests within the fleet-wide rate limits.
	borrower *borrower.Borrower
	// operators serves readiness, status and metrics.
	operators *operatorServer
	// createdAt is the instant at which New built the process.
	createdAt timer.Instant
	// hasFinishedJoin is set once joinFinished has returned true; it is never reset.
	hasFinishedJoin atomic.Bool
}

// joinTimeout bounds how long a new VM stays not ready because it holds no ranges.
const joinTimeout = 6 * time.Second

// sockets holds the open listeners of a VM.
type sockets struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

// New opens the listeners and builds the process.
func New(s *configurer.Settings, l *logger.Logger) (*VM, error) {
	open, err := listen(s)
	if err != nil {
		return nil, err
	}
	base, err := newProcess(s, l)
	if err != nil {
		return nil, err
	}
	v := &VM{
		process: base,
		server:  messenger.NewServer(open.peers),
		pool:    messenger.NewPool(),
	}
	v.createdAt = v.timers.Now()
	v.follower = newFollower(s, v.timers, l)
	if err := v.addMembership(advertised(s, open.peers)); err != nil {
		return nil, err
	}
	if err := addTargetSelection(v); err != nil {
		return nil, err
	}
	v.transport = forwarder.NewTransport(v.timers, handler.DefaultDialect(), v.bodies, v.connections)
	if err := addConfiguration(v); err != nil {
		return nil, err
	}
	if err := addRates(v); err != nil {
		return nil, err
	}
	if err := addClaims(v); err != nil {
		return nil, err
	}
	v.listener = v.newListener(open.callers, v.chain(filterer.NewForward(v.transport)), v.follower, handler.DefaultDialect())
	v.stopper = &stopper{
		grace:    s.StopGrace(),
		listener: v.listener,
		timers:   v.timers,
		logger:   l,
		leavers: []leaver{
			v.member,
		},
	}
	v.operators = newOperatorServer(open.operators, v.operatorHandler())
	v.controllers = append(v.controllers,
		v.timers,
		v.follower,
		v.vmList,
		v.member,
		v.server,
		v.transport,
		v.operators,
		v.stopper,
	)

	return v, nil
}

// advertised returns the address at which other VMs reach this one.
func advertised(s *configurer.Settings, peers net.Listener) string {
	if s.Advertised() != "" {
		return s.Advertised()
	}

	return peers.Addr().String()
}

func listen(s *configurer.Settings) (*sockets, error) {
	open := &sockets{}
	for _, e := range []struct {
		address string
		ln      *net.Listener
	}{
		{address: s.Callers(), ln: &open.callers},
		{address: s.Peers(), ln: &open.peers},
		{address: s.Operators(), ln: &open.operators},
	} {
		ln, err := bind(e.address)
		if err != nil {
			return nil, err
		}
		*e.ln = ln
	}

	return open, nil
}

func (v *VM) memberCount() int {
	return v.member.View().Size()
}

// Ready reports whether the VM is ready for callers' requests: its configuration has
// been confirmed as current at some time, it has finished joining the fleet, and it is
// not stopping.
func (v *VM) Ready() bool {
	return v.follower.Ready() && v.joinFinished() && !v.stopper.Stopping()
}

// joinFinished reports whether the VM has held ranges at some time, or joinTimeout
// has passed. A VM that cannot join serves requests all the same; other VMs hold the
// ranges.
func (v *VM) joinFinished() bool {
	if v.hasFinishedJoin.Load() {
		return true
	}
	if v.member.ActiveCount() == 0 && v.timers.Now().Sub(v.createdAt) < joinTimeout {
		return false
	}
	v.hasFinishedJoin.Store(true)

	return true
}

// Version returns the version of the manifest in force on this VM.
func (v *VM) Version() manifester.Version {
	return v.follower.Manifest().Version()
}

// Callers returns the address of the callers' listener.
func (v *VM) Callers() string {
	return v.listener.Address()
}

// Peers returns the address at which other VMs reach this one.
func (v *VM) Peers() string {
	return v.member.View().Self().Address()
}

// Run serves until ctx ends, then stops gracefully.
func (v *VM) Run(ctx context.Context) error {
	if err := v.run(ctx); err != nil {
		return err
	}
	err := errors.CombineErrors(v.pool.Close(), v.tracer.Close(context.WithoutCancel(ctx)))

	return errors.Wrap(err, "stopping the VM")
}

// shutdownTimeout bounds the stop of the operators' listener.
const shutdownTimeout = 5 * time.Second
