package timer

import (
	"container/heap"
	"sync"
	"time"
)

// Manual is a timer service for tests. Its time advances only by calls of Advance. It
// is safe for concurrent use.
type Manual struct {
	// mu guards now and queue.
	mu    sync.Mutex
	now   Instant
	queue queue
}

// NewManual returns a manual timer service whose present time is start.
func NewManual(start Instant) *Manual {
	return &Manual{
		now: start,
	}
}

// Now returns the present time of the service.
func (m *Manual) Now() Instant {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.now
}

// Every subscribes to a tick in each period. A period of 0 or less counts as one
// nanosecond.
func (m *Manual) Every(period time.Duration) *Subscription {
	return m.subscribe(max(period, 1), max(period, 1))
}

// After subscribes to a single tick once d has passed.
func (m *Manual) After(d time.Duration) *Subscription {
	return m.subscribe(d, 0)
}

// Advance advances the time by d and then delivers the ticks that are due. A
// subscription gets at most one of them.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	m.queue.fire(m.now)
}

func (m *Manual) subscribe(first, period time.Duration) *Subscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := &Subscription{
		due:    make(chan Instant, 1),
		next:   m.now.Add(first),
		period: period,
		index:  -1,
		cancel: m.unsubscribe,
	}
	heap.Push(&m.queue, u)

	return u
}

func (m *Manual) unsubscribe(u *Subscription) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queue.remove(u)
}
