package queuer

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

type clock interface {
	Now() timer.Instant
	After(d time.Duration) *timer.Subscription
}

// capacity bounds the requests that this VM has in flight to upstreams.
type capacity interface {
	// Service returns the maximum number of running requests for the service.
	Service(name string) int
	// Total returns the maximum number of running requests in all.
	Total() int
}

// Queuer is the queue of one VM. It is safe for concurrent use.
type Queuer struct {
	clock    clock
	capacity capacity
	// started and refused count the verdicts.
	started metrics.Counter
	refused metrics.Counter
	// mu guards schedulers; it is held for one decision at a time.
	mu         sync.Mutex
	schedulers schedulers
}

// New returns a queue without requests. Its services share a bound in all.
func New(c clock, k capacity) *Queuer {
	return newQueuer(c, k, sharedScheduler{
		scheduler: NewScheduler(),
	})
}

// NewByService returns a queue without requests. Its services have nothing in common, and
// a request for which its service has room always starts.
func NewByService(c clock, k capacity) *Queuer {
	return newQueuer(c, k, serviceSchedulers{})
}

func newQueuer(c clock, k capacity, s schedulers) *Queuer {
	return &Queuer{
		clock:      c,
		capacity:   k,
		started:    metrics.NewCounter(),
		refused:    metrics.NewCounter(),
		schedulers: s,
	}
}

// Each calls f with the name and the value of each counter.
func (q *Queuer) Each(f func(name string, n metrics.Counter)) {
	f("queue.started", q.started)
	f("queue.refused", q.refused)
}

// Enter blocks until the request is started or refused. Leave must be called
// with the ticket of every request that was started.
func (q *Queuer) Enter(ctx context.Context, t *Ticket) Verdict {
	v := q.enter(ctx, t)
	if v.Started() {
		q.started.Inc(1)
	} else {
		q.refused.Inc(1)
	}

	return v
}

func (q *Queuer) enter(ctx context.Context, t *Ticket) Verdict {
	bound, total := q.capacity.Service(t.service), q.capacity.Total()
	q.mu.Lock()
	s := q.schedulers.of(t.service)
	s.Enter(q.clock.Now(), t, bound, total)
	latest := s.LatestStart(t)
	q.mu.Unlock()
	select {
	case v := <-t.verdict:
		return v
	default:
	}

	return q.await(ctx, t, latest)
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
	q.schedulers.of(t.service).Cancel(t, r)
}

// Leave ends a request that was started.
func (q *Queuer) Leave(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.schedulers.of(t.service).Leave(q.clock.Now(), t)
}

// Resize changes the maximum number of running requests of a service, and starts the
// waiting ones for which there is room.
func (q *Queuer) Resize(service string, bound int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.schedulers.of(service).Resize(q.clock.Now(), service, bound)
}

// Demand returns the numbers of requests of the service that run and that wait. The queue
// must be one by service.
func (q *Queuer) Demand(service string) (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, known := q.schedulers.find(service)
	if !known {
		return 0, 0
	}

	return s.Running(), s.Waiting()
}

// EachWaiting calls f with each service for which requests wait, and their number.
func (q *Queuer) EachWaiting(f func(service string, waiting int)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.schedulers.each(func(service string, s *Scheduler) {
		if n := s.Waiting(); n > 0 {
			f(service, n)
		}
	})
}

// Waiting returns the number of requests that wait.
func (q *Queuer) Waiting() int64 {
	n := 0
	q.EachWaiting(func(_ string, waiting int) { n += waiting })

	return int64(n)
}
