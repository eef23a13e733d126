package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// idleWait is how long Run waits if there are no subscriptions.
const idleWait = time.Hour

// Service is the timer service on the system clock. Ticks are only delivered while Run
// is running. It is safe for concurrent use.
type Service struct {
	// mu guards queue.
	mu    sync.Mutex
	queue queue
	// changed wakes Run when a new subscription is at the head of the queue.
	changed chan struct{}
}

// NewService returns a timer service without subscriptions.
func NewService() *Service {
	return &Service{
		changed: make(chan struct{}, 1),
	}
}

// Now returns the present time.
func (s *Service) Now() Instant {
	return readBootClock()
}

// Every subscribes to a tick in each period. A period of 0 or less counts as one
// nanosecond.
func (s *Service) Every(period time.Duration) *Subscription {
	return s.subscribe(max(period, 1), max(period, 1))
}

// After subscribes to a single tick once d has passed.
func (s *Service) After(d time.Duration) *Subscription {
	return s.subscribe(d, 0)
}

// Name returns the controller's name.
func (s *Service) Name() string {
	return "timer"
}

// Run delivers ticks until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	t := time.NewTimer(idleWait)
	defer t.Stop()
	for {
		t.Reset(s.fireDue())
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-s.changed:
		}
	}
}

// fireDue delivers the ticks that are due and returns the time until the next one, or
// idleWait if there are no subscriptions.
func (s *Service) fireDue() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	s.queue.fire(now)
	if s.queue.Len() == 0 {
		return idleWait
	}

	return s.queue[0].next.Sub(now)
}

func (s *Service) subscribe(first, period time.Duration) *Subscription {
	u := &Subscription{
		due:    make(chan Instant, 1),
		next:   s.Now().Add(first),
		period: period,
		index:  -1,
		cancel: s.unsubscribe,
	}
	s.mu.Lock()
	heap.Push(&s.queue, u)
	head := s.queue[0] == u
	s.mu.Unlock()
	if head {
		s.wake()
	}

	return u
}

func (s *Service) unsubscribe(u *Subscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.remove(u)
}

func (s *Service) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}
