package subscriber

import (
	"context"

	"github.com/cockroachdb/errors"
)

// step loads the topic if that is still to be done, or else makes one call for changes.
// It reports whether that call found changes, which a call that failed may have.
func (s *Subscriber) step(ctx context.Context) (bool, error) {
	rank := s.peers.Rank(s.name)
	s.mu.Lock()
	s.refresh = false
	q, load, delay := s.schedule.query(s.next, rank), s.mustLoad(), s.loadDelay(rank)
	if s.settleAt != 0 {
		q.wait = min(q.wait, s.settleAt.Sub(s.clock.Now()))
	}
	if s.peerOffset > s.next {
		q.wait = 0
		s.peerOffset = s.next // A wrong offset from another VM causes only one call.
	}
	s.mu.Unlock()
	if load {
		s.pause(ctx, delay, nil)

		return false, s.load(ctx)
	}
	changes, err := s.poll(ctx, q)
	advanced := s.take(q.from, changes, err)
	var expired *ExpiredError
	switch {
	case errors.As(err, &expired):
		s.reset()
	case err != nil:
		return advanced, err
	}

	return advanced, nil
}

// take applies the changes that a call returned, with its error, and forwards them to
// other VMs. It reports whether there were any. A call that failed may have returned some.
// Changes of another era are not applied, since some before them may be unknown: the topic is
// to be loaded.
func (s *Subscriber) take(from Offset, changes Changes, err error) bool {
	s.mu.Lock()
	if err == nil {
		s.view.StoreReached(s.clock.Now())
	}
	if s.isOther(changes.era) {
		s.reload = true
		s.mu.Unlock()

		return false
	}
	advanced := changes.next > s.next
	if advanced {
		s.apply(changes.next, changes.records)
	}
	if err == nil {
		s.catchUp(changes.end, changes.next > from)
	}
	era, rank := s.era, s.peers.Rank(s.name)
	partition, forwards := s.forwardTo(rank)
	s.mu.Unlock()
	if advanced && forwards {
		s.peers.Forward(s.name, partition, NewBatch(from, changes.next, changes.records).InEra(era))
	}

	return advanced
}

// catchUp decides how to read the records up to the end, where there are any. The newest
// record of each key is read instead where these are fewer, or where the last call got no
// further. The lock must be held.
func (s *Subscriber) catchUp(end Offset, progress bool) {
	left := end - s.next
	if left <= 0 {
		return
	}
	s.refresh = true
	if left > Offset(s.keys) || !progress {
		s.next = unknown
	}
}

// reset makes the next step read the newest record of each key.
func (s *Subscriber) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = unknown
}

// errPeerAhead cancels a waiting call once another VM has read further.
var errPeerAhead = errors.New("another VM has read further")

// poll reads changes. A call that waits is canceled with errPeerAhead once another VM has
// read further.
func (s *Subscriber) poll(ctx context.Context, q Query) (Changes, error) {
	if q.wait == 0 {
		return s.check(ctx, q)
	}
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-s.peerAhead:
			cancel(errPeerAhead)
		case <-callCtx.Done():
		}
	}()
	r := s.waitForChanges(callCtx, q)
	if r.err != nil && errors.Is(context.Cause(callCtx), errPeerAhead) {
		r.err = errPeerAhead
	}

	return r.changes, r.err
}

// check makes a call that does not wait.
func (s *Subscriber) check(ctx context.Context, q Query) (Changes, error) {
	begun := s.clock.Now()
	changes, err := s.topic.Changes(ctx, q)
	if err == nil {
		s.schedule.responded(s.clock.Now().Sub(begun))
		s.answered()
	}

	return changes, err
}

// response is the result of a call for changes.
type response struct {
	changes Changes
	err     error
}

// waitForChanges makes a call that waits. The first of the VMs that wait also checks, each
// checkInterval, whether that call has missed a change: its response may have been lost. So
// does any other one once that VM may be gone. The call is given up where a check finds changes
// or fails.
func (s *Subscriber) waitForChanges(ctx context.Context, q Query) response {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	checks := s.clock.Every(checkPeriod)
	defer checks.Stop()
	lastCheck := s.clock.Now()
	waiting := make(chan response, 1)
	go func() {
		changes, err := s.topic.Changes(callCtx, q)
		waiting <- response{
			changes: changes,
			err:     err,
		}
	}()
	for {
		select {
		case r := <-waiting:
			return r
		case <-checks.Due():
		}
		rank, now := s.peers.Rank(s.name), s.clock.Now()
		isDue := rank == 0 && now.Sub(lastCheck) >= checkInterval
		if !isDue && !s.mustCheck(rank) {
			continue
		}
		lastCheck = now
		changes, err := s.check(callCtx, s.schedule.check(q.from))
		if err != nil || changes.end > q.from || s.hasReturned(changes.era) {
			return response{
				changes: changes,
				err:     err,
			}
		}
	}
}

// hasReturned reports whether the era of a response shows that the store came back from a copy.
func (s *Subscriber) hasReturned(e Era) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.isOther(e)
}

// load reads the newest record of each key. Where the view cannot use all of them, load
// also reads older records, so that the view finds the last usable one.
func (s *Subscriber) load(ctx context.Context) error {
	snapshot, err := s.topic.Newest(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	now := s.clock.Now()
	s.view.StoreReached(now)
	returned := s.loaded(now, snapshot.era, snapshot.next)
	s.next = snapshot.next
	s.keys = len(snapshot.records)
	usable := s.view.Replace(now, snapshot.records)
	s.mu.Unlock()
	if returned {
		s.forwardLast(snapshot.era, snapshot.records)
	}
	if usable {
		return nil
	}

	return s.loadOlder(ctx, snapshot.next)
}

const (
	// firstOlder is the number of records before the newest ones that are read first
	// where these cannot be used; each further attempt reads olderFactor times as many.
	firstOlder  = 8
	olderFactor = 8
)

// loadOlder applies the last records before the offset, as many as the view needs and the
// store retains.
func (s *Subscriber) loadOlder(ctx context.Context, before Offset) error {
	for count := Offset(firstOlder); ; count *= olderFactor {
		from := max(0, before-count)
		records, first, err := s.span(ctx, from, before)
		if err != nil {
			return err
		}
		s.mu.Lock()
		usable := s.view.Update(s.clock.Now(), records)
		s.mu.Unlock()
		if usable || first > from || from == 0 {
			return nil
		}
	}
}

// errStoreReturned reports that the store came back from a copy between two calls.
var errStoreReturned = errors.New("the store came back from an older copy; the topic is loaded again")

// span returns the records between the offsets that the store retains, and the offset of
// the first of them.
func (s *Subscriber) span(ctx context.Context, from, before Offset) (records []Record, first Offset, err error) {
	first = from
	for from < before {
		changes, err := s.topic.Changes(ctx, NewQuery(from, 0, slowResponse))
		var expired *ExpiredError
		switch {
		case errors.As(err, &expired):
			records, first, from = nil, expired.first, expired.first

			continue
		case err != nil:
			return nil, 0, err
		case s.hasReturned(changes.era):
			s.reset()

			return nil, 0, errStoreReturned
		case changes.next <= from:
			return records, first, nil
		}
		records, from = append(records, changes.records...), changes.next
	}

	return records, first, nil
}
