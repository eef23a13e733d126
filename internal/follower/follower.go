package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// eventQueueSize bounds the events that wait for the goroutine of Run.
const eventQueueSize = 64

type logReader interface {
	Read(ctx context.Context, stream recorder.Stream, from recorder.Offset, wait time.Duration) (recorder.Batch, error)
}

type snapshotReader interface {
	// Newest returns the state of the newest complete snapshot in the log.
	Newest(ctx context.Context) (*manifester.Manifest, recorder.Offset, error)
}

type timers interface {
	Now() timer.Instant
	Every(d time.Duration) *timer.Subscription
}

// published is an immutable copy of the follower's state for readers in other
// goroutines.
type published struct {
	manifest *manifester.Manifest
	next     recorder.Offset
	tail     Tail
	asOf     timer.Instant
	known    bool
}

// Follower is the controller of the manifest in force. Records come from the
// log and from peers; the state applies them in log order, whatever their source.
type Follower struct {
	log       logReader
	snapshots snapshotReader
	timers    timers
	logger    *logger.Logger

	// state, tail, freshness and available belong to the goroutine of Run.
	state     *State
	tail      Tail
	freshness *Freshness
	available bool
	// reads holds the instants at which the reads in flight were sent.
	reads []timer.Instant
	// readers tracks the goroutines of the reads in flight.
	readers sync.WaitGroup

	events chan event
	// current is replaced after each event; never nil.
	current atomic.Pointer[published]
	// freshUntil is the instant from which the state is too stale to authenticate
	// requests by API key.
	freshUntil atomic.Int64
	// ready is set once the state is fresh and the log or a ready peer has confirmed
	// it as current.
	ready atomic.Bool
	// first is the highest value of Batch.First that a read of the log returned.
	first atomic.Int64
	// stale is set while the last event logged about freshness is KeysStale.
	stale bool
}

// event is an input that the goroutine of Run handles.
type event interface {
	handle(ctx context.Context, f *Follower)
}

// New returns a follower of the log.
func New(log logReader, snapshots snapshotReader, decode DecodeChange, timers timers, l *logger.Logger) *Follower {
	f := &Follower{
		log:       log,
		snapshots: snapshots,
		timers:    timers,
		logger:    l,
		state:     NewState(decode),
		freshness: NewFreshness(),
		available: true,
		events:    make(chan event, eventQueueSize),
	}
	f.freshUntil.Store(int64(never))
	f.publish()

	return f
}

// Name returns the controller's name.
func (f *Follower) Name() string { return "follower" }

// Manifest returns the manifest in force.
func (f *Follower) Manifest() *manifester.Manifest {
	return f.current.Load().manifest
}

// State returns the manifest in force and the offset of the next record.
func (f *Follower) State() (*manifester.Manifest, recorder.Offset) {
	c := f.current.Load()

	return c.manifest, c.next
}

// First returns the offset of the oldest record that the log still kept at the
// last read.
func (f *Follower) First() recorder.Offset {
	return recorder.Offset(f.first.Load())
}

// Records returns the applied records from the offset on, or false if the tail
// no longer holds the record at that offset.
func (f *Follower) Records(from recorder.Offset) ([]recorder.Record, bool) {
	c := f.current.Load()

	return c.tail.from(from, c.next)
}

// Position returns how far this VM has followed the stream.
func (f *Follower) Position() Position {
	c := f.current.Load()

	return NewPosition(c.next, c.known, f.timers.Now().Sub(c.asOf), f.Ready())
}

// Ready reports whether the state has once been fresh and confirmed as current
// by the log or a ready peer.
func (f *Follower) Ready() bool { return f.ready.Load() }

// FreshUntil returns the instant from which the manifest is too stale to
// authenticate requests by API key: it may lack the withdrawal of a key.
func (f *Follower) FreshUntil() timer.Instant {
	return timer.Instant(f.freshUntil.Load())
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	tick := f.timers.Every(readCheckPeriod)
	defer tick.Stop()
	defer f.readers.Wait()
	f.startRead(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-f.events:
			e.handle(ctx, f)
		case <-tick.Due():
			f.startReadIfDue(ctx)
		}
		f.publish()
	}
}

// send queues an event for the goroutine of Run, or drops it when ctx ends.
func (f *Follower) send(ctx context.Context, e event) {
	select {
	case f.events <- e:
	case <-ctx.Done():
	}
}

// Offer queues records that a peer returned; the state applies those that come
// next in log order.
func (f *Follower) Offer(ctx context.Context, records []recorder.Record) {
	f.send(ctx, offer{
		records: records,
	})
}

// Restore queues the snapshot that a peer returned; next is the offset of the
// first record after it. A snapshot that is no newer than the state is ignored.
func (f *Follower) Restore(ctx context.Context, m *manifester.Manifest, next recorder.Offset) {
	f.send(ctx, restoration{
		manifest: m,
		next:     next,
	})
}

// ObservePeer queues a peer's answer about its position.
func (f *Follower) ObservePeer(ctx context.Context, p PeerPosition) { f.send(ctx, p) }

// SetPeers sets the peers that are polled for their positions.
func (f *Follower) SetPeers(ctx context.Context, peers []member.ID) {
	f.send(ctx, peerList(peers))
}

// publish replaces the copy that other goroutines read.
func (f *Follower) publish() {
	asOf, known := f.freshness.AsOf()
	f.current.Store(&published{
		manifest: f.state.Manifest(),
		next:     f.state.Next(),
		tail:     f.tail,
		asOf:     asOf,
		known:    known,
	})
	until := f.freshness.Until()
	fresh := f.timers.Now().Before(until)
	if f.freshness.Confirmed() && fresh {
		f.ready.Store(true)
	}
	if f.Ready() {
		f.freshUntil.Store(int64(until))
		f.logFreshness(!fresh)
	}
}

func (f *Follower) logFreshness(stale bool) {
	if stale == f.stale {
		return
	}
	f.stale = stale
	if stale {
		f.logger.Log(logger.KeysStale, logger.Int("next", int64(f.state.Next())))

		return
	}
	f.logger.Log(logger.KeysFresh, logger.Int("next", int64(f.state.Next())))
}

// apply applies one record to the state and reports whether the records after
// it can be applied.
func (f *Follower) apply(r recorder.Record) bool {
	before := f.state.Next()
	c, err := f.state.Apply(r)
	if f.state.Next() == before {
		return err == nil
	}
	f.tail = f.tail.with(r)
	if err != nil {
		f.logger.Log(logger.ChangeSkipped, logger.Int("offset", int64(r.Offset())), logger.Failure(err))

		return true
	}
	f.logger.Log(logger.ChangeApplied, logger.Int("version", int64(r.Offset())), logger.Text("change", string(c.ID())), logger.Int("objects", int64(c.Size())))

	return true
}

type offer struct {
	records []recorder.Record
}

func (o offer) handle(_ context.Context, f *Follower) { f.applyAll(o.records) }

func (f *Follower) applyAll(records []recorder.Record) {
	for _, r := range records {
		if !f.apply(r) {
			return
		}
	}
}

type restoration struct {
	manifest *manifester.Manifest
	next     recorder.Offset
}

func (r restoration) handle(_ context.Context, f *Follower) {
	if !f.state.Restore(r.manifest, r.next) {
		return
	}
	f.tail = Tail{}
	f.logger.Log(logger.StateRestored, logger.Int("version", int64(r.manifest.Version())), logger.Int("next", int64(r.next)))
}

func (p PeerPosition) handle(_ context.Context, f *Follower) {
	f.freshness.PeerAnswered(p, f.state.Next())
}

type peerList []member.ID

func (p peerList) handle(_ context.Context, f *Follower) { f.freshness.SetPeers(p) }
