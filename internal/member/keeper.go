package member

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// pingTimeout bounds one ping; a later reply could not extend the lease.
	pingTimeout = LeaseDuration
	// leaveTimeout bounds the wait for the removal of this VM in a planned stop.
	leaveTimeout = 2 * time.Second
	// queueLength is the capacity for replies that the event loop has not
	// processed yet.
	queueLength = 64
)

type log interface {
	Read(ctx context.Context, stream recorder.Stream, from recorder.Offset, wait time.Duration) (recorder.Batch, error)
	Append(ctx context.Context, stream recorder.Stream, data []byte) (recorder.Offset, error)
}

type pinger interface {
	Ping(ctx context.Context, address string, p *Ping) (*Reply, error)
}

type listings interface {
	Listing() *Listing
}

type timers interface {
	Now() timer.Instant
	Every(d time.Duration) *timer.Subscription
	After(d time.Duration) *timer.Subscription
}

// DecodeRecord decodes a record of the members stream.
type DecodeRecord func(data []byte) (*Record, error)

// EncodeRecord encodes a record of the members stream.
type EncodeRecord func(r *Record) ([]byte, error)

// KeeperSpec lists the identity of this VM and the dependencies of its
// membership controller.
type KeeperSpec struct {
	Self     VM
	Log      log
	Pinger   pinger
	Listings listings
	Timers   timers
	Logger   *logger.Logger
	Decode   DecodeRecord
	Encode   EncodeRecord
}

// Keeper is the controller of the membership protocol on one VM. One goroutine,
// the event loop, owns the participant; others read the lease and the view
// through atomics.
type Keeper struct {
	spec KeeperSpec
	// participant, listHistory and listing are used by the event loop only.
	participant *Participant
	listHistory *ListHistory
	listing     *Listing
	// lease and view are replaced by the event loop; never nil.
	lease atomic.Pointer[Lease]
	view  atomic.Pointer[View]
	// viewVersion is the participant's at the last published view; used by the
	// event loop only.
	viewVersion uint64

	requests chan pingRequest
	replies  chan pingReply
	reads    chan logRead
	appended chan error
	// resign is closed by the first Leave.
	resign     chan struct{}
	resignOnce sync.Once
	// left is closed once this VM has resigned and is no longer a member.
	left     chan struct{}
	leftOnce sync.Once
	// appending is set while an append is in progress; used by the event loop
	// only.
	appending bool
	// stream is the progress in the members stream; used by the event loop only.
	stream stream
}

// pingRequest is a ping received from another VM.
type pingRequest struct {
	ping *Ping
	// reply has capacity 1, so that the event loop does not block.
	reply chan *Reply
}

// pingReply is a reply to a ping of this VM, with the epoch and the time of the
// ping.
type pingReply struct {
	reply *Reply
	epoch uint64
	sent  timer.Instant
}

// NewKeeper returns the controller of a VM that is not a member yet.
func NewKeeper(s KeeperSpec) *Keeper {
	k := &Keeper{
		spec:        s,
		participant: NewParticipant(s.Self, s.Timers.Now()),
		listHistory: NewListHistory(s.Self.ID()),
		listing:     &Listing{},
		requests:    make(chan pingRequest),
		replies:     make(chan pingReply, queueLength),
		reads:       make(chan logRead),
		appended:    make(chan error, 1),
		resign:      make(chan struct{}),
		left:        make(chan struct{}),
	}
	k.lease.Store(noLease)
	k.view.Store(k.participant.View(nil))

	return k
}

// Name returns the controller's name in errors and logs.
func (k *Keeper) Name() string { return "member" }

// View returns the current view.
func (k *Keeper) View() *View { return k.view.Load() }

// Active reports whether this VM may act as the holder of the range now, and in
// which term. It must be called immediately before each action.
func (k *Keeper) Active(r Range) (Term, bool) {
	return k.lease.Load().Active(r, k.spec.Timers.Now())
}

// ActiveCount returns the number of ranges for which this VM may act now.
func (k *Keeper) ActiveCount() int {
	return k.lease.Load().Count(k.spec.Timers.Now())
}

// Leave gives up all ranges permanently, notifies the other members, and waits
// until a record has removed this VM from the members, for two seconds at most.
func (k *Keeper) Leave(ctx context.Context) {
	k.resignOnce.Do(func() { close(k.resign) })
	timeout := k.spec.Timers.After(leaveTimeout)
	defer timeout.Stop()
	select {
	case <-k.left:
	case <-timeout.Due():
	case <-ctx.Done():
	}
}

// Handle processes a ping of another VM and returns the reply. It fails only if
// ctx ends first.
func (k *Keeper) Handle(ctx context.Context, p *Ping) (*Reply, error) {
	c := pingRequest{
		ping:  p,
		reply: make(chan *Reply, 1),
	}
	select {
	case k.requests <- c:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "waiting to answer a ping")
	}
	select {
	case r := <-c.reply:
		return r, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "answering a ping")
	}
}

// Run maintains this VM's membership and lease until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return k.followLog(ctx)
	})
	g.Go(func() error {
		return k.runLoop(ctx)
	})

	return errors.Wrap(g.Wait(), "maintaining the membership")
}

// runLoop is the event loop, which owns the participant until ctx ends.
func (k *Keeper) runLoop(ctx context.Context) error {
	tick := k.spec.Timers.Every(pingPeriod)
	defer tick.Stop()
	k.pingAll(ctx)
	for ctx.Err() == nil {
		epoch := k.participant.Epoch()
		k.handleNext(ctx, tick.Due())
		if k.participant.Epoch() != epoch {
			k.logEpoch()
			k.pingAll(ctx)
		}
		k.publish()
		k.propose(ctx)
		if k.participant.Resigned() && !k.participant.Member() {
			k.leftOnce.Do(func() { close(k.left) })
		}
	}

	return nil
}

// handleNext waits for one event and processes it.
func (k *Keeper) handleNext(ctx context.Context, tick <-chan timer.Instant) {
	retry := k.spec.Timers.After(k.untilProposal())
	defer retry.Stop()
	resign := k.resign
	if k.participant.Resigned() {
		resign = nil
	}
	select {
	case <-ctx.Done():
	case <-retry.Due():
	case <-tick:
		k.pingAll(ctx)
	case c := <-k.requests:
		c.reply <- k.participant.HandlePing(c.ping, k.spec.Timers.Now())
	case a := <-k.replies:
		k.participant.HandleReply(a.reply, a.epoch, a.sent, k.spec.Timers.Now())
	case r := <-k.reads:
		k.handleRead(r)
	case err := <-k.appended:
		k.finishAppend(err)
	case <-resign:
		k.announceResignation(ctx)
	}
}

// announceResignation gives up all ranges and notifies the other members. It is
// called once.
func (k *Keeper) announceResignation(ctx context.Context) {
	k.participant.Resign()
	k.publish()
	k.pingAll(ctx)
}

// pingAll pings every member or, while the epoch has no members, every listed
// VM that runs lagoonkeel.
func (k *Keeper) pingAll(ctx context.Context) {
	now := k.spec.Timers.Now()
	k.updateListing()
	k.participant.StartRound(now)
	targets := k.participant.Members()
	if len(targets) == 0 {
		targets = k.listing.OtherProxies(k.spec.Self.ID())
	}
	for _, v := range targets {
		if v.ID() != k.spec.Self.ID() {
			go k.ping(ctx, v, k.participant.Ping(v.Incarnation(), now), now)
		}
	}
}

// ping sends one ping and passes the reply to the event loop.
func (k *Keeper) ping(ctx context.Context, to VM, p *Ping, sent timer.Instant) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	r, err := k.spec.Pinger.Ping(ctx, to.Address(), p)
	if err != nil {
		return
	}
	select {
	case k.replies <- pingReply{
		reply: r,
		epoch: p.Epoch(),
		sent:  sent,
	}:
	case <-ctx.Done():
	}
}

// updateListing takes over the platform's list if it is new and not empty.
func (k *Keeper) updateListing() {
	l := k.spec.Listings.Listing()
	if l == k.listing || len(l.VMs()) == 0 {
		return
	}
	k.listing = l
	ids := make([]ID, 0, len(l.VMs()))
	for _, v := range l.VMs() {
		ids = append(ids, ID(v.ID()))
	}
	k.listHistory.Update(ids, l.RequestedAt())
	k.view.Store(k.participant.View(l.OtherProxies(k.spec.Self.ID())))
}

// publish replaces the lease and, if it changed, the view.
func (k *Keeper) publish() {
	k.participant.RefreshLease(k.spec.Timers.Now())
	k.lease.Store(k.participant.Lease())
	if v := k.participant.ViewVersion(); v != k.viewVersion {
		k.viewVersion = v
		k.view.Store(k.participant.View(k.listing.OtherProxies(k.spec.Self.ID())))
	}
}

func (k *Keeper) logEpoch() {
	k.spec.Logger.Log(logger.EpochBegan,
		logger.Int("epoch", int64(k.participant.Epoch())),
		logger.Int("members", int64(len(k.participant.Members()))),
		logger.Flag("member", k.participant.Member()))
}
