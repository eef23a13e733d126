package subscriber

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// step loads the topic if that is still to be done, or else makes one call for changes.
// It reports whether that call found changes.
func (s *Subscriber) step(ctx context.Context) (bool, error) {
	s.mu.Lock()
	s.refresh = false
	from := s.next
	wait := s.schedule.pollTimeout(s.peers.Rank(s.name))
	if s.peerOffset > s.next {
		wait = 0
		s.peerOffset = s.next // A wrong offset from another VM causes only one call.
	}
	s.mu.Unlock()
	if from == unknown {
		return false, s.load(ctx)
	}
	records, to, err := s.poll(ctx, from, wait)
	var expired *ExpiredError
	switch {
	case errors.As(err, &expired):
		s.reset()

		return false, nil
	case errors.Is(err, errPeerAhead):
		return false, nil
	case err != nil:
		return false, err
	}
	s.mu.Lock()
	advanced := to > s.next
	s.view.StoreReached(s.clock.Now())
	if advanced {
		s.apply(to, records)
	}
	s.mu.Unlock()
	if rank := s.peers.Rank(s.name); advanced && s.schedule.isWaiter(rank) {
		s.peers.Forward(s.name, NewPartition(rank, waiters), from, to, records)
	}

	return advanced, nil
}

// reset makes the next step read the newest record of each key.
func (s *Subscriber) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = unknown
}

// errPeerAhead cancels a waiting call once another VM has read further.
var errPeerAhead = errors.New("another VM has read further")

// poll reads the changes from the offset on, and waits for one for the given time at
// most. A waiting call is canceled with errPeerAhead once another VM has read further.
func (s *Subscriber) poll(ctx context.Context, from Offset, wait time.Duration) ([]Record, Offset, error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if wait > 0 {
		go func() {
			select {
			case <-s.peerAhead:
				cancel(errPeerAhead)
			case <-callCtx.Done():
			}
		}()
	}
	records, to, err := s.topic.Changes(callCtx, from, wait)
	if err != nil && errors.Is(context.Cause(callCtx), errPeerAhead) {
		return nil, 0, errPeerAhead
	}

	return records, to, err
}

// load reads the newest record of each key. Where the view cannot use all of them, load
// also reads the retained records, so that the view finds the last usable one.
func (s *Subscriber) load(ctx context.Context) error {
	records, next, err := s.topic.Newest(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	now := s.clock.Now()
	s.view.StoreReached(now)
	s.next = next
	usable := s.view.Replace(now, records)
	s.mu.Unlock()
	if usable {
		return nil
	}
	older, err := s.retained(ctx, next)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Update(s.clock.Now(), older)

	return nil
}

// retained returns all records that the store retains, or none where they all are at or
// after the offset.
func (s *Subscriber) retained(ctx context.Context, before Offset) ([]Record, error) {
	records, _, err := s.topic.Changes(ctx, 0, 0)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		if expired.first >= before {
			return nil, nil
		}
		records, _, err = s.topic.Changes(ctx, expired.first, 0)
	}

	return records, err
}
