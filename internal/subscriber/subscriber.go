// Package subscriber keeps a view of a keyed topic of the platform's store up to date. It
// reads the newest record of each key first, then every change. The VMs of a fleet share
// this work: at any time a few of them wait for changes, and forward them to the others.
// It does not depend on the encoding of the records.
package subscriber

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// topic is a keyed topic of the store.
type topic interface {
	// Newest returns the newest record of each key, of one era.
	Newest(ctx context.Context) (Snapshot, error)
	// Changes returns the changes that the query asks for, or the first ones of many.
	// Changes that it returns with an error are valid too. The error is *ExpiredError
	// where the store does not have the records.
	Changes(ctx context.Context, q Query) (Changes, error)
}

// view is the state that the records of a topic are applied to.
type view interface {
	// Replace applies the newest record of every key. It returns false where older
	// records are needed because one of them cannot be used.
	Replace(now timer.Instant, records []Record) bool
	// Update applies records in the order of their offsets. It returns false where the
	// view needs a usable record and none of these is one.
	Update(now timer.Instant, records []Record) bool
	// StoreReached records that the store answered this VM, and StoreLost that it did not.
	StoreReached(now timer.Instant)
	StoreLost(now timer.Instant)
	// PeerReached records that the store answered another VM lately.
	PeerReached(now timer.Instant)
	// StoreReturned records that the store came back from an older copy. Records that are
	// applied from then on may have lower offsets than earlier ones. Until it has settled, they
	// may be older than what the view knows; all of them are applied again then.
	StoreReturned(now, settled timer.Instant)
}

// peers are the other VMs of the fleet.
type peers interface {
	// Rank returns how many other VMs precede this one in waiting for changes of the
	// topic. VMs whose reports do not arrive, or that cannot reach the store, are not
	// counted.
	Rank(topic string) int
	// Forward sends a batch of the topic to a partition of the VMs. VMs that do not receive
	// it learn from reports how far this VM has read.
	Forward(topic string, p Partition, b Batch)
}

type clock interface {
	Now() timer.Instant
	After(d time.Duration) *timer.Subscription
	Every(d time.Duration) *timer.Subscription
}

// Subscriber is the controller that follows one topic.
type Subscriber struct {
	name     string
	topic    topic
	view     view
	clock    clock
	peers    peers
	schedule *schedule
	logger   *logger.Logger
	// peerAhead wakes Run after a report that another VM has read further.
	peerAhead chan struct{}
	// mu guards what follows, and the order in which records are applied to the view.
	mu sync.Mutex
	// era is that of next, as the store stated it to this VM; 0 before it did.
	era Era
	// next is the offset to read from; unknown while the topic has to be loaded first.
	next Offset
	// reload is set if the topic is to be loaded although next is known.
	reload bool
	// peerEra is the greatest era in which another VM has read; it is not below era once the
	// topic was loaded.
	peerEra Era
	// settleAt is when the topic is to be loaded again because the store came back from an
	// older copy before; 0 if it is not.
	settleAt timer.Instant
	// keys is the number of keys that the topic had when it was loaded.
	keys int
	// peerOffset is the greatest offset of the era up to which another VM has read.
	peerOffset Offset
	// refresh is set where the next call must follow at once.
	refresh bool
	// lost is set from a failed call on until a call succeeds.
	lost bool
	// lostLogged is when the last log line about a failed call was written.
	lostLogged timer.Instant
	// lastSuccess is when the last call without a failure ended; 0 before one did.
	lastSuccess timer.Instant
	// freshAt is the last instant at which the store is known to have answered a VM; it is not
	// before lastSuccess.
	freshAt timer.Instant
	// forAll is set while this VM checks for changes in place of the VMs that wait.
	forAll bool
}

// unknown is the offset of a subscriber that must read the newest record of each key.
const unknown Offset = -1

// New returns a subscriber of the topic with the name.
func New(name string, t topic, v view, p peers, c clock, l *logger.Logger) *Subscriber {
	return &Subscriber{
		name:      name,
		topic:     t,
		view:      v,
		clock:     c,
		peers:     p,
		schedule:  &schedule{},
		logger:    l,
		peerAhead: make(chan struct{}, 1),
		next:      unknown,
	}
}

// LowPriority gives the topic a low priority: no VM waits for its changes. It must be
// called before Run.
func (s *Subscriber) LowPriority() *Subscriber {
	s.schedule.lowPriority = true

	return s
}

// Topic returns the name of the topic.
func (s *Subscriber) Topic() string { return s.name }

// Name returns the controller's name.
func (s *Subscriber) Name() string { return "subscriber-" + s.name }

// Position returns the offset up to which the topic has been read, and its era; 0 while the
// topic is to be loaded.
func (s *Subscriber) Position() (Era, Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.era, max(0, s.next)
}

// Lost reports whether the last call of this VM failed.
func (s *Subscriber) Lost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.lost
}

// Silence returns the time since the last call of this VM without a failure; 0 before
// one ended.
func (s *Subscriber) Silence() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastSuccess == 0 {
		return 0
	}

	return s.clock.Now().Sub(s.lastSuccess)
}

// NotePeerPosition records that another VM has read up to the offset of the era. Where this VM
// is behind, it reads at once.
func (s *Subscriber) NotePeerPosition(e Era, to Offset) {
	s.mu.Lock()
	ahead := s.next != unknown && (e > max(s.era, s.peerEra) || e == s.era && to > max(s.peerOffset, s.next))
	switch {
	case !ahead:
	case e > s.era:
		s.peerEra = e
	default:
		s.peerOffset = to
	}
	s.mu.Unlock()
	if ahead {
		s.wake()
	}
}

// Refresh makes a call for changes follow at once, even where one is in progress.
func (s *Subscriber) Refresh() {
	s.mu.Lock()
	s.refresh = true
	s.mu.Unlock()
	s.wake()
}

// NotePeerReached records that the store answered another VM, at the given time before now.
func (s *Subscriber) NotePeerReached(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.noteAnswer(now.Add(-age))
	s.view.PeerReached(now)
}

// ApplyForwarded applies a batch that another VM read, where it is contiguous with what this VM
// has read. Otherwise this VM reads the records itself. Those of a later era are applied at
// once too, since the store may not answer this VM; those of an earlier one never.
func (s *Subscriber) ApplyForwarded(b Batch) {
	s.mu.Lock()
	isNext := s.next != unknown && b.era == s.era && b.from <= s.next
	switch {
	case isNext && b.to > s.next:
		s.apply(b.to, b.records)
	case s.next != unknown && b.era > s.era:
		s.applyLater(b)
	}
	s.mu.Unlock()
	if !isNext {
		s.NotePeerPosition(b.era, b.to)
	}
}

// applyLater applies a batch of a later era to the view. The lock must be held.
func (s *Subscriber) applyLater(b Batch) {
	now := s.clock.Now()
	if b.era > s.peerEra {
		s.returned(now)
	}
	s.view.Update(now, b.records)
}

func (s *Subscriber) wake() {
	select {
	case s.peerAhead <- struct{}{}:
	default:
	}
}

// apply applies the records from the next offset on to the view; the lock must be held.
func (s *Subscriber) apply(to Offset, records []Record) {
	for len(records) > 0 && records[0].offset < s.next {
		records = records[1:]
	}
	s.next = max(s.next, to)
	s.view.Update(s.clock.Now(), records)
}

// Run follows the topic until ctx ends.
func (s *Subscriber) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		found, err := s.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, errPeerAhead) {
			continue // The store neither answered the call nor failed it.
		}
		rank := s.peers.Rank(s.name)
		if err != nil {
			s.failed(err)
			s.pause(ctx, s.schedule.nextBackoff(rank, found), nil)

			continue
		}
		s.succeeded()
		s.schedule.succeeded()
		if !s.behind() {
			s.waitInterval(ctx, s.schedule.interval(rank, found), s.schedule.isWaiter(rank))
		}
	}

	return nil
}

// behind reports whether the next call must follow at once: to load the topic, because
// another VM has read further, or after Refresh.
func (s *Subscriber) behind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.mustLoad() || s.peerOffset > s.next || s.refresh
}

// lostLogInterval is the time between two log lines about calls that fail. Their cause may
// change meanwhile.
const lostLogInterval = 5 * time.Second

func (s *Subscriber) failed(err error) {
	s.mu.Lock()
	now := s.clock.Now()
	s.view.StoreLost(now)
	due := !s.lost || now.Sub(s.lostLogged) >= lostLogInterval
	s.lost = true
	if due {
		s.lostLogged = now
	}
	next := s.next
	s.mu.Unlock()
	if due {
		s.logger.Log(logger.StoreLost, logger.Text("topic", s.name), logger.Int("offset", int64(next)), logger.Failure(err))
	}
}

func (s *Subscriber) succeeded() {
	s.mu.Lock()
	regained := s.lost
	s.lost = false
	s.lastSuccess = s.clock.Now()
	s.noteAnswer(s.lastSuccess)
	s.forAll = false
	next := s.next
	s.mu.Unlock()
	if regained {
		s.logger.Log(logger.StoreRegained, logger.Text("topic", s.name), logger.Int("offset", int64(next)))
	}
}

// waitInterval waits for the time. It returns early once the next call must follow at
// once, once this VM starts or stops being one that waits for changes, or once those that do
// may be gone.
func (s *Subscriber) waitInterval(ctx context.Context, d time.Duration, waits bool) {
	for end := s.clock.Now().Add(d); ctx.Err() == nil && !s.behind(); {
		rank, left := s.peers.Rank(s.name), end.Sub(s.clock.Now())
		if left <= 0 || s.schedule.isWaiter(rank) != waits || s.mustCheck(rank) {
			return
		}
		period := min(left, rankCheckPeriod)
		if check, checks := s.untilCheck(rank); checks {
			period = min(period, check)
		}
		s.pause(ctx, period, s.peerAhead)
	}
}

// pause waits for the time, until it is woken or until ctx ends.
func (s *Subscriber) pause(ctx context.Context, d time.Duration, woken <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := s.clock.After(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-woken:
	case <-t.Due():
	}
}
