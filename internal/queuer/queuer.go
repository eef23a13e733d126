package queuer

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

type clock interface {
	Now() timer.Instant
	After(d time.Duration) *timer.Subscription
}

// capacity bounds the requests that this VM has in flight to upstreams.
type capacity interface {
	// Service returns the maximum number of running requests for the service.
	Service(s *manifester.Service) int
	// Total returns the maximum number of running requests in all.
	Total() int
}

// Queuer is the queue of one VM. It is safe for concurrent use.
type Queuer struct {
	clock    clock
	capacity capacity
	// mu guards scheduler; it is held for one decision at a time.
	mu        sync.Mutex
	scheduler *Scheduler
}

// New returns a queue without requests.
func New(c clock, k capacity) *Queuer {
	return &Queuer{
		clock:     c,
		capacity:  k,
		scheduler: NewScheduler(),
	}
}

// Enter blocks until the request is started or refused. Leave must be called
// with the ticket of every request that was started.
func (q *Queuer) Enter(ctx context.Context, s *manifester.Service, team *manifester.Team, deadline timer.Instant) (*Ticket, Verdict) {
	t := NewTicket(s, team, deadline)
	bound, total := q.capacity.Service(s), q.capacity.Total()
	q.mu.Lock()
	q.scheduler.Enter(q.clock.Now(), t, bound, total)
	latest := q.scheduler.LatestStart(t)
	q.mu.Unlock()
	select {
	case v := <-t.verdict:
		return t, v
	default:
	}

	return t, q.await(ctx, t, latest)
}

// await blocks until the ticket has a verdict, and cancels the ticket at its
// latest start or when ctx ends.
func (q *Queuer) await(ctx context.Context, t *Ticket, latest timer.Instant) Verdict {
	timeout := q.clock.After(latest.Sub(q.clock.Now()))
	defer timeout.Stop()
	select {
	case v := <-t.verdict:
		return v
	case <-timeout.Due():
		q.cancel(t, ReasonLate)
	case <-ctx.Done():
		q.cancel(t, ReasonGone)
	}

	return <-t.verdict
}

func (q *Queuer) cancel(t *Ticket, r Reason) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.Cancel(t, r)
}

// Leave ends a request that was started.
func (q *Queuer) Leave(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.Leave(q.clock.Now(), t)
}

// Waiting returns the number of requests that wait.
func (q *Queuer) Waiting() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()

	return int64(q.scheduler.Waiting())
}
