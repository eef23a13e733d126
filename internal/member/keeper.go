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
	// pingTimeout bounds one ping; a later answer could not prolong the lease.
	pingTimeout = LeaseDuration
	// leaveTimeout bounds the goodbye of a planned stop.
	leaveTimeout = 2 * time.Second
	// queueLength is the room for messages that the owner has not taken yet.
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

// DecodeRecord reads a record of the members stream.
type DecodeRecord func(data []byte) (*Record, error)

// EncodeRecord writes a record of the members stream.
type EncodeRecord func(r *Record) ([]byte, error)

// KeeperSpec lists what a keeper works with.
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

// Keeper is the controller of the core protocol on one VM. One goroutine owns
// the participant; others read the tenure and the view through atomics.
type Keeper struct {
	spec KeeperSpec
	// participant belongs to the owner.
	participant *Participant
	sightings   *Sightings
	listing     *Listing
	// tenure and view are swapped by the owner; never nil.
	tenure atomic.Pointer[Tenure]
	view   atomic.Pointer[View]
	// viewVersion is the participant's at the last view; owner only.
	viewVersion uint64

	calls    chan call
	answers  chan answer
	reads    chan read
	appended chan error
	// resign is closed by the first Leave.
	resign     chan struct{}
	resignOnce sync.Once
	// left is closed once a VM that resigned is no member any more.
	left     chan struct{}
	leftOnce sync.Once
	// appending is set while an append is on its way; owner only.
	appending bool
	// source is where the log's records stand; owner only.
	source source
}

// call is a ping of another VM.
type call struct {
	ping *Ping
	// reply has room for the answer.
	reply chan *Reply
}

// answer is a reply to a ping of this VM.
type answer struct {
	reply *Reply
	epoch uint64
	sent  timer.Instant
}

// NewKeeper returns the keeper of a VM that is no member yet.
func NewKeeper(s KeeperSpec) *Keeper {
	k := &Keeper{
		spec:        s,
		participant: NewParticipant(s.Self, s.Timers.Now()),
		sightings:   NewSightings(s.Self.ID()),
		listing:     &Listing{},
		calls:       make(chan call),
		answers:     make(chan answer, queueLength),
		reads:       make(chan read),
		appended:    make(chan error, 1),
		resign:      make(chan struct{}),
		left:        make(chan struct{}),
	}
	k.tenure.Store(noTenure)
	k.view.Store(k.participant.View(nil))

	return k
}

// Name returns the controller's name.
func (k *Keeper) Name() string { return "member" }

// View returns the present view.
func (k *Keeper) View() *View { return k.view.Load() }

// Active reports whether this VM may act as the holder of the range at this
// moment, and in which term. It must be asked immediately before each act.
func (k *Keeper) Active(r Range) (Term, bool) {
	return k.tenure.Load().Active(r, k.spec.Timers.Now())
}

// ActiveCount returns the number of ranges on which this VM may act now.
func (k *Keeper) ActiveCount() int {
	return k.tenure.Load().Count(k.spec.Timers.Now())
}

// Leave gives up every range for good, tells the others, and waits until the
// log has removed this VM from the members, for two seconds at the most.
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

// Handle answers the ping of another VM.
func (k *Keeper) Handle(ctx context.Context, p *Ping) (*Reply, error) {
	c := call{
		ping:  p,
		reply: make(chan *Reply, 1),
	}
	select {
	case k.calls <- c:
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

// Run keeps membership and lease until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return k.follow(ctx)
	})
	g.Go(func() error {
		return k.work(ctx)
	})

	return errors.Wrap(g.Wait(), "keeping the membership")
}

// work owns the participant until ctx ends.
func (k *Keeper) work(ctx context.Context) error {
	tick := k.spec.Timers.Every(pingPeriod)
	defer tick.Stop()
	k.round(ctx)
	for ctx.Err() == nil {
		epoch := k.participant.Epoch()
		k.step(ctx, tick.Due())
		if k.participant.Epoch() != epoch {
			k.logEpoch()
			k.round(ctx)
		}
		k.publish()
		k.propose(ctx)
		if k.participant.Resigned() && !k.participant.Member() {
			k.leftOnce.Do(func() { close(k.left) })
		}
	}

	return nil
}

// step takes one message.
func (k *Keeper) step(ctx context.Context, tick <-chan timer.Instant) {
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
		k.round(ctx)
	case c := <-k.calls:
		c.reply <- k.participant.HandlePing(c.ping, k.spec.Timers.Now())
	case a := <-k.answers:
		k.participant.HandleReply(a.reply, a.epoch, a.sent, k.spec.Timers.Now())
	case r := <-k.reads:
		k.take(r)
	case err := <-k.appended:
		k.settle(err)
	case <-resign:
		k.retire(ctx)
	}
}

// retire gives up every range and tells the others. It happens once.
func (k *Keeper) retire(ctx context.Context) {
	k.participant.Resign()
	k.publish()
	k.round(ctx)
}

// round pings every member and, before the first epoch is known, every listed
// VM.
func (k *Keeper) round(ctx context.Context) {
	now := k.spec.Timers.Now()
	k.look()
	k.participant.StartRound(now)
	targets := k.participant.Members()
	if len(targets) == 0 {
		targets = k.listing.Entries(k.spec.Self.ID())
	}
	for _, v := range targets {
		if v.ID() != k.spec.Self.ID() {
			go k.ping(ctx, v, k.participant.Ping(v.Incarnation(), now), now)
		}
	}
}

// ping sends one ping and hands the answer to the owner.
func (k *Keeper) ping(ctx context.Context, to VM, p *Ping, sent timer.Instant) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	r, err := k.spec.Pinger.Ping(ctx, to.Address(), p)
	if err != nil {
		return
	}
	select {
	case k.answers <- answer{
		reply: r,
		epoch: p.Epoch(),
		sent:  sent,
	}:
	case <-ctx.Done():
	}
}

// look takes the platform's list where it is new.
func (k *Keeper) look() {
	l := k.spec.Listings.Listing()
	if l == k.listing || len(l.VMs()) == 0 {
		return
	}
	k.listing = l
	ids := make([]ID, 0, len(l.VMs()))
	for _, v := range l.VMs() {
		ids = append(ids, ID(v.ID()))
	}
	k.sightings.Update(ids, l.Asked())
	k.view.Store(k.participant.View(l.Entries(k.spec.Self.ID())))
}

// publish swaps the tenure and, where it changed, the view.
func (k *Keeper) publish() {
	k.participant.Refresh(k.spec.Timers.Now())
	k.tenure.Store(k.participant.Tenure())
	if v := k.participant.ViewVersion(); v != k.viewVersion {
		k.viewVersion = v
		k.view.Store(k.participant.View(k.listing.Entries(k.spec.Self.ID())))
	}
}

func (k *Keeper) logEpoch() {
	k.spec.Logger.Log(logger.EpochBegan,
		logger.Int("epoch", int64(k.participant.Epoch())),
		logger.Int("members", int64(len(k.participant.Members()))),
		logger.Flag("member", k.participant.Member()))
}
