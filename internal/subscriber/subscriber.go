// Package subscriber keeps a view of a keyed topic of the platform's store: the
// newest record of each key first, then every change. It knows no encoding.
package subscriber

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// firstPause and longestPause bound the pause after a failed call; it
	// doubles from one failure to the next.
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
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
	// It waits for a record for a bounded time. The error is *ExpiredError where
	// the records are no longer kept.
	Changes(ctx context.Context, from Offset) ([]Record, Offset, error)
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
	logger *logger.Logger
	// next is the offset to read from, or unknown.
	next Offset
	// lost is set while the store does not answer.
	lost  bool
	pause time.Duration
}

// unknown is the offset of a subscriber that must read the newest records.
const unknown Offset = -1

// New returns a subscriber of the topic.
func New(name string, t topic, v view, gap time.Duration, c clock, l *logger.Logger) *Subscriber {
	return &Subscriber{
		name:   name,
		topic:  t,
		view:   v,
		clock:  c,
		gap:    gap,
		logger: l,
		next:   unknown,
		pause:  firstPause,
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
	if s.next == unknown {
		return false, s.load(ctx)
	}
	records, next, err := s.topic.Changes(ctx, s.next)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		s.next = unknown

		return false, nil
	}
	if err != nil {
		return false, err
	}
	now := s.clock.Now()
	s.view.Reached(now)
	s.view.Update(now, records)
	s.next = next

	return len(records) > 0, nil
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
	s.next = next
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
	records, _, err := s.topic.Changes(ctx, 0)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		if expired.first >= s.next {
			return nil, nil
		}
		records, _, err = s.topic.Changes(ctx, expired.first)
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
		s.logger.Log(logger.StoreRegained, logger.Text("topic", s.name), logger.Int("offset", int64(s.next)))
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
