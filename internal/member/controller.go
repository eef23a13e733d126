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

// ControllerSpec lists the identity of this VM and the dependencies of its
// membership controller.
type ControllerSpec struct {
	Self     VM
	Log      log
	Pinger   pinger
	Listings listings
	Timers   timers
	Logger   *logger.Logger
	Decode   DecodeRecord
	Encode   EncodeRecord
}

// Controller runs the membership protocol on one VM. One goroutine,
// the event loop, owns the participant; others read the lease and the view
// through atomics.
type Controller struct {
	spec ControllerSpec
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

// NewController returns the controller of a VM that is not a member yet.
func NewController(s ControllerSpec) *Controller {
	c := &Controller{
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
	c.lease.Store(noLease)
	c.view.Store(c.participant.View(nil))

	return c
}

// Name returns the controller's name in errors and logs.
func (c *Controller) Name() string { return "member" }

// View returns the current view.
func (c *Controller) View() *View { return c.view.Load() }

// Active reports whether this VM may act as the holder of the range now, and in
// which term. It must be called immediately before each action.
func (c *Controller) Active(r Range) (Term, bool) {
	return c.lease.Load().Active(r, c.spec.Timers.Now())
}

// ActiveCount returns the number of ranges for which this VM may act now.
func (c *Controller) ActiveCount() int {
	return c.lease.Load().Count(c.spec.Timers.Now())
}

// Leave gives up all ranges permanently, notifies the other members, and waits
// until a record has removed this VM from the members, for two seconds at most.
func (c *Controller) Leave(ctx context.Context) {
	c.resignOnce.Do(func() { close(c.resign) })
	timeout := c.spec.Timers.After(leaveTimeout)
	defer timeout.Stop()
	select {
	case <-c.left:
	case <-timeout.Due():
	case <-ctx.Done():
	}
}

// Handle processes a ping of another VM and returns the reply. It fails only if
// ctx ends first.
func (c *Controller) Handle(ctx context.Context, p *Ping) (*Reply, error) {
	request := pingRequest{
		ping:  p,
		reply: make(chan *Reply, 1),
	}
	select {
	case c.requests <- request:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "waiting to answer a ping")
	}
	select {
	case r := <-request.reply:
		return r, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "answering a ping")
	}
}

// Run maintains this VM's membership and lease until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return c.followLog(ctx)
	})
	g.Go(func() error {
		return c.runLoop(ctx)
	})

	return errors.Wrap(g.Wait(), "maintaining the membership")
}

// runLoop is the event loop, which owns the participant until ctx ends.
func (c *Controller) runLoop(ctx context.Context) error {
	tick := c.spec.Timers.Every(pingPeriod)
	defer tick.Stop()
	c.pingAll(ctx)
	for ctx.Err() == nil {
		epoch := c.participant.Epoch()
		c.handleNext(ctx, tick.Due())
		if c.participant.Epoch() != epoch {
			c.logEpoch()
			c.pingAll(ctx)
		}
		c.publish()
		c.propose(ctx)
		if c.participant.Resigned() && !c.participant.Member() {
			c.leftOnce.Do(func() { close(c.left) })
		}
	}

	return nil
}

// handleNext waits for one event and processes it.
func (c *Controller) handleNext(ctx context.Context, tick <-chan timer.Instant) {
	retry := c.spec.Timers.After(c.untilProposal())
	defer retry.Stop()
	resign := c.resign
	if c.participant.Resigned() {
		resign = nil
	}
	select {
	case <-ctx.Done():
	case <-retry.Due():
	case <-tick:
		c.pingAll(ctx)
	case request := <-c.requests:
		request.reply <- c.participant.HandlePing(request.ping, c.spec.Timers.Now())
	case p := <-c.replies:
		c.participant.HandleReply(p.reply, p.epoch, p.sent, c.spec.Timers.Now())
	case r := <-c.reads:
		c.handleRead(r)
	case err := <-c.appended:
		c.finishAppend(err)
	case <-resign:
		c.announceResignation(ctx)
	}
}

// announceResignation gives up all ranges and notifies the other members. It is
// called once.
func (c *Controller) announceResignation(ctx context.Context) {
	c.participant.Resign()
	c.publish()
	c.pingAll(ctx)
}

// pingAll pings every member or, while the epoch has no members, every listed
// VM that runs lagoonkeel.
func (c *Controller) pingAll(ctx context.Context) {
	now := c.spec.Timers.Now()
	c.updateListing()
	c.participant.StartRound(now)
	targets := c.participant.Members()
	if len(targets) == 0 {
		targets = c.listing.OtherProxies(c.spec.Self.ID())
	}
	for _, v := range targets {
		if v.ID() != c.spec.Self.ID() {
			go c.ping(ctx, v, c.participant.Ping(v.Incarnation(), now), now)
		}
	}
}

// ping sends one ping and passes the reply to the event loop.
func (c *Controller) ping(ctx context.Context, to VM, p *Ping, sent timer.Instant) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	r, err := c.spec.Pinger.Ping(ctx, to.Address(), p)
	if err != nil {
		return
	}
	select {
	case c.replies <- pingReply{
		reply: r,
		epoch: p.Epoch(),
		sent:  sent,
	}:
	case <-ctx.Done():
	}
}

// updateListing applies the platform's list if it is new. An empty list, which
// does not even name this VM, is ignored.
func (c *Controller) updateListing() {
	l := c.spec.Listings.Listing()
	if l == c.listing || len(l.VMs()) == 0 {
		return
	}
	c.listing = l
	ids := make([]ID, 0, len(l.VMs()))
	for _, v := range l.VMs() {
		ids = append(ids, ID(v.ID()))
	}
	c.listHistory.Update(ids, l.RequestedAt())
	c.view.Store(c.participant.View(l.OtherProxies(c.spec.Self.ID())))
}

// publish replaces the lease and, if it changed, the view.
func (c *Controller) publish() {
	c.participant.RefreshLease(c.spec.Timers.Now())
	c.lease.Store(c.participant.Lease())
	if v := c.participant.ViewVersion(); v != c.viewVersion {
		c.viewVersion = v
		c.view.Store(c.participant.View(c.listing.OtherProxies(c.spec.Self.ID())))
	}
}

func (c *Controller) logEpoch() {
	c.spec.Logger.Log(logger.EpochBegan,
		logger.Int("epoch", int64(c.participant.Epoch())),
		logger.Int("members", int64(len(c.participant.Members()))),
		logger.Flag("member", c.participant.Member()))
}
