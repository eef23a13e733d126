package queuer

import (
	"maps"
	"slices"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/ranker"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Preview is what Enter would decide about a request.
type Preview struct {
	verdict Verdict
	wait    time.Duration
	running int
	waiting int
	bound   int
}

// Verdict returns the verdict: whether the request would be started, at once or after the
// wait, or refused on its arrival.
func (p Preview) Verdict() Verdict { return p.verdict }

// Wait returns the expected wait.
func (p Preview) Wait() time.Duration { return p.wait }

// Running returns the number of requests of the service that run, Waiting of those that
// wait, and Bound the maximum number of running ones.
func (p Preview) Running() int { return p.running }

// Waiting returns the number of requests of the service that wait.
func (p Preview) Waiting() int { return p.waiting }

// Bound returns the maximum number of running requests of the service.
func (p Preview) Bound() int { return p.bound }

// Preview returns what Enter would decide about the ticket if the service's bound is the
// given one. It queues nothing and counts no verdict.
func (q *Queuer) Preview(t *Ticket, bound int) Preview {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, known := q.schedulers.find(t.service)
	if !known {
		s = NewServiceScheduler()
	}

	return s.preview(q.clock.Now(), *t, bound)
}

// preview decides about a copy of a ticket on a copy of the queue of its service.
func (s *Scheduler) preview(now timer.Instant, t Ticket, bound int) Preview {
	t.maxDuration = s.maxDuration(now, &t)
	q := s.queueCopy(&t)
	q.bound = max(1, bound)
	wait := q.estimateWait(&t, s.interval(t.rank))
	p := Preview{
		wait:    wait,
		running: q.running,
		waiting: q.waiting,
		bound:   q.bound,
	}
	switch {
	case q.missesDeadline(now, &t, wait):
		p.verdict.reason = ReasonLate
	case s.drops(q, &t):
		p.verdict.reason = ReasonFull
	}
	if !p.verdict.Started() {
		p.verdict.retryAfter = wait
	}

	return p
}

// drops pushes the ticket, and reports whether the queue then exceeds its bound and the
// ticket is the one to drop.
func (s *Scheduler) drops(q *serviceQueue, t *Ticket) bool {
	q.push(t)

	return s.overflows(q) && q.dropCandidate() == t
}

// queueCopy returns a copy of the queue of the ticket's service to which the ticket can be
// added without a change of the queue.
func (s *Scheduler) queueCopy(t *Ticket) *serviceQueue {
	q, known := s.queues[t.service]
	if !known {
		return s.newServiceQueue()
	}
	c := *q
	c.flows = maps.Clone(q.flows)
	if tickets, waits := c.flows[t.flow()]; waits {
		c.flows[t.flow()] = slices.Clip(tickets)
	}

	return &c
}

// interval returns the average time between two starts of the rank.
func (s *Scheduler) interval(r ranker.Rank) time.Duration {
	if i, ok := s.indexOf(r); ok {
		return s.levels[i].interval
	}

	return 0
}
