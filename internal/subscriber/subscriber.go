// Package subscriber keeps a view of a keyed topic of the platform's store: the
// newest record of each key first, then every change. It knows no encoding.
package subscriber

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// firstPause and longestPause bound the pause after a failed call; it
	// doubles from one failure to the next.
	firstPause   = 100 * time.Millisecond
	longestPause = 300 * time.Millisecond
	// fleetPause is the time after which, on average, some VM of the fleet asks
	// the store anew: a call that waits may miss a change for ever. VMs tell each
	// other how far they have read.
	fleetPause = 400 * time.Millisecond
	// leastWait and mostWait bound the time that one call waits.
	leastWait = 500 * time.Millisecond
	mostWait  = 25 * time.Second
)

// Offset numbers the records of a topic.
type Offset int64

// Record is one record of a topic.
type Record struct {
	key string
	// value is nil where the key was removed.
	value  []byte
	offset Offset
}

// NewRecord returns a record; a nil value removes the key.
func NewRecord(key string, value []byte, offset Offset) Record {
	return Record{
		key:    key,
		value:  value,
		offset: offset,
	}
}

// Key returns the key.
func (r Record) Key() string { return r.key }

// Value returns the value, or nil where the key was removed.
func (r Record) Value() []byte { return r.value }

// Removed reports whether the record removes its key.
func (r Record) Removed() bool { return r.value == nil }

// Offset returns the offset.
func (r Record) Offset() Offset { return r.offset }

// ExpiredError reports that the records asked for are no longer kept.
type ExpiredError struct {
	first Offset
}

// NewExpiredError returns the error; first is the oldest record that is kept.
func NewExpiredError(first Offset) *ExpiredError {
	return &ExpiredError{
		first: first,
	}
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return "the records have expired; read the newest record of each key"
}

// First returns the oldest offset that is kept.
func (e *ExpiredError) First() Offset { return e.first }

// topic is a keyed topic of the store.
type topic interface {
	// Newest returns the newest record of each key, and the offset from which
	// Changes goes on.
	Newest(ctx context.Context) ([]Record, Offset, error)
	// Changes returns the records from the offset on and the offset after them.
	// It waits for a record for the given time at most. The error is
	// *ExpiredError where the records are no longer kept.
	Changes(ctx context.Context, from Offset, wait time.Duration) ([]Record, Offset, error)
}

// view takes records in.
type view interface {
	// Replace takes the newest record of every key and reports whether all of
	// them could be used.
	Replace(now timer.Instant, records []Record) bool
	// Update takes records in the order of their offsets.
	Update(now timer.Instant, records []Record)
	// Reached notes that the store answered, and Lost that it did not.
	Reached(now timer.Instant)
	Lost(now timer.Instant)
}

// crowd knows how many VMs ask the store.
type crowd interface {
	// Census returns how many VMs, this one included, are heard and known.
	Census() (heard, known int)
}

type clock interface {
	Now() timer.Instant
	After(d time.Duration) *timer.Subscription
}

// Subscriber is the controller that follows one topic.
type Subscriber struct {
	name  string
	topic topic
	view  view
	clock clock
	// gap is the least time between two calls that found records: a view that
	// may be as old as that needs no call for each record.
	gap    time.Duration
	crowd  crowd
	logger *logger.Logger
	// next is the offset to read from, or unknown.
	next atomic.Int64
	// ahead is the greatest offset that another VM has read to.
	ahead atomic.Int64
	// passed wakes a waiting call after another VM was found ahead.
	passed chan struct{}
	// lost is set while the store does not answer.
	lost  bool
	pause time.Duration
}

// unknown is the offset of a subscriber that must read the newest records.
const unknown = -1

// New returns a subscriber of the topic.
func New(name string, t topic, v view, gap time.Duration, w crowd, c clock, l *logger.Logger) *Subscriber {
	s := &Subscriber{
		name:   name,
		topic:  t,
		view:   v,
		clock:  c,
		gap:    gap,
		crowd:  w,
		logger: l,
		passed: make(chan struct{}, 1),
		pause:  firstPause,
	}
	s.next.Store(unknown)

	return s
}

// Position returns the offset up to which the topic has been read.
func (s *Subscriber) Position() Offset { return Offset(max(0, s.next.Load())) }

// Pass notes that another VM has read up to the offset. A call that waits is
// made anew where this VM is behind.
func (s *Subscriber) Pass(to Offset) {
	if int64(to) <= s.ahead.Load() || int64(to) <= s.next.Load() {
		return
	}
	s.ahead.Store(int64(to))
	select {
	case s.passed <- struct{}{}:
	default:
	}
}

// Name returns the controller's name.
func (s *Subscriber) Name() string { return "subscriber-" + s.name }

// Run follows the topic until ctx ends.
func (s *Subscriber) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		found, err := s.step(ctx)
		switch {
		case ctx.Err() != nil:
		case err != nil:
			s.failed(err)
			s.wait(ctx, s.pause)
			s.pause = min(2*s.pause, longestPause)
		default:
			s.succeeded()
			if found {
				s.wait(ctx, s.gap)
			}
		}
	}

	return nil
}

// step makes one call and reports whether it found records.
func (s *Subscriber) step(ctx context.Context) (bool, error) {
	if s.next.Load() == unknown {
		return false, s.load(ctx)
	}
	records, next, err := s.poll(ctx)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		s.next.Store(unknown)

		return false, nil
	}
	if errors.Is(err, errPassed) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	now := s.clock.Now()
	s.view.Reached(now)
	s.view.Update(now, records)
	s.next.Store(int64(next))

	return len(records) > 0, nil
}

// errPassed ends a call that waits while another VM has read further.
var errPassed = errors.New("another VM has read further")

// poll asks for changes, and waits for one unless another VM is ahead.
func (s *Subscriber) poll(ctx context.Context) ([]Record, Offset, error) {
	wait := s.patience()
	if s.ahead.Load() > s.next.Load() {
		wait = 0
		s.ahead.Store(s.next.Load()) // One call is enough if the other VM was wrong.
	}
	asking, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-s.passed:
			if wait > 0 && s.ahead.Load() > s.next.Load() {
				cancel(errPassed)
			}
		case <-asking.Done():
		}
	}()
	records, next, err := s.topic.Changes(asking, Offset(s.next.Load()), wait)
	if err != nil && errors.Is(context.Cause(asking), errPassed) {
		return nil, 0, errPassed
	}

	return records, next, err
}

// patience is the time that one call waits, so that the calls of the fleet
// follow each other closely.
func (s *Subscriber) patience() time.Duration {
	heard, _ := s.crowd.Census()
	mean := time.Duration(heard) * fleetPause
	wait := mean/2 + rand.N(mean) //nolint:gosec // Spreads calls; nothing secret hangs on it.

	return min(max(wait, leastWait), mostWait)
}

// load reads the newest record of each key. Where one of them cannot be used,
// it goes on with the older records that are kept, so that the last usable one
// is found.
func (s *Subscriber) load(ctx context.Context) error {
	records, next, err := s.topic.Newest(ctx)
	if err != nil {
		return err
	}
	now := s.clock.Now()
	s.view.Reached(now)
	s.next.Store(int64(next))
	if s.view.Replace(now, records) {
		return nil
	}
	older, err := s.kept(ctx)
	if err != nil {
		return err
	}
	s.view.Update(s.clock.Now(), older)

	return nil
}

// kept returns the records that the store still keeps.
func (s *Subscriber) kept(ctx context.Context) ([]Record, error) {
	records, _, err := s.topic.Changes(ctx, 0, 0)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		if int64(expired.first) >= s.next.Load() {
			return nil, nil
		}
		records, _, err = s.topic.Changes(ctx, expired.first, 0)
	}

	return records, err
}

func (s *Subscriber) failed(err error) {
	s.view.Lost(s.clock.Now())
	if !s.lost {
		s.logger.Log(logger.StoreLost, logger.Text("topic", s.name), logger.Failure(err))
	}
	s.lost = true
}

func (s *Subscriber) succeeded() {
	if s.lost {
		s.logger.Log(logger.StoreRegained, logger.Text("topic", s.name), logger.Int("offset", s.next.Load()))
	}
	s.lost = false
	s.pause = firstPause
}

func (s *Subscriber) wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := s.clock.After(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.Due():
	}
}
