package timer

import (
	"container/heap"
	"sync"
	"time"
)

// Manual is a timer service whose time moves only by Advance.
type Manual struct {
	mu    sync.Mutex
	now   Instant
	queue queue
}

// NewManual returns a manual timer service that stands at start.
func NewManual(start Instant) *Manual {
	return &Manual{
		now: start,
	}
}

// Now returns the instant at which the service stands.
func (m *Manual) Now() Instant {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.now
}

// Every subscribes to a tick each period. A period of 0 or less counts as one
// nanosecond.
func (m *Manual) Every(period time.Duration) *Subscription {
	return m.subscribe(max(period, 1), max(period, 1))
}

// After subscribes to a single tick once d has passed.
func (m *Manual) After(d time.Duration) *Subscription {
	return m.subscribe(d, 0)
}

// Advance moves time forward by d and delivers every tick that came due.
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
		cancel: m.drop,
	}
	heap.Push(&m.queue, u)

	return u
}

func (m *Manual) drop(u *Subscription) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queue.remove(u)
}
