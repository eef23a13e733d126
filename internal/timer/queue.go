package timer

import (
	"container/heap"
	"context"
	"time"
)

// Subscription delivers ticks to one subscriber.
type Subscription struct {
	// due has a buffer of one tick: a slow subscriber misses ticks and never gets a
	// backlog.
	due chan Instant
	// next is the time of the next tick; guarded by the service's lock.
	next Instant
	// period is 0 for a subscription to a single tick.
	period time.Duration
	// index is the position in the queue, or -1 outside it; guarded by the service's
	// lock.
	index int
	// cancel removes the subscription from the service's queue.
	cancel func(*Subscription)
}

// Due returns the channel of ticks. A tick is the time of its delivery.
func (s *Subscription) Due() <-chan Instant {
	return s.due
}

// Each calls f for each tick until ctx ends, and then ends the subscription.
func (s *Subscription) Each(ctx context.Context, f func(now Instant)) {
	defer s.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-s.due:
			f(now)
		}
	}
}

// Await waits for the next tick or the end of ctx, and then ends the subscription. It
// reports whether there was a tick.
func (s *Subscription) Await(ctx context.Context) bool {
	defer s.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-s.due:
		return true
	}
}

// Stop ends the subscription. It is safe to call more than once.
func (s *Subscription) Stop() {
	s.cancel(s)
}

// queue is a heap of subscriptions by the time of their next tick.
type queue []*Subscription

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].next < q[j].next }

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	s, ok := x.(*Subscription)
	if !ok {
		return
	}
	s.index = len(*q)
	*q = append(*q, s)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	s := old[len(old)-1]
	old[len(old)-1] = nil
	s.index = -1
	*q = old[:len(old)-1]

	return s
}

// fire delivers a tick to every subscription that is due and schedules the periodic
// ones again, without a tick for each period that was missed.
func (q *queue) fire(now Instant) {
	for q.Len() > 0 && !(*q)[0].next.After(now) {
		s := (*q)[0]
		select {
		case s.due <- now:
		default:
		}
		if s.period == 0 {
			heap.Pop(q)

			continue
		}
		for !s.next.After(now) {
			s.next = s.next.Add(s.period)
		}
		heap.Fix(q, 0)
	}
}

func (q *queue) remove(s *Subscription) {
	if s.index >= 0 {
		heap.Remove(q, s.index)
	}
}
