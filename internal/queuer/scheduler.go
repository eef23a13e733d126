// Package queuer admits requests to upstreams in a fair order: ranks by importance, and
// teams within a rank by weight. A request that cannot meet its deadline is refused.
package queuer

import (
	"math"
	"slices"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/ranker"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// maxServiceWaiting bounds the waiting requests of one service on a small VM: each
	// holds a connection, a goroutine and a small body.
	maxServiceWaiting = 1024
	// durationDivisor divides the time from a request's arrival to its deadline. The
	// result bounds the running time that is expected of it, so that requests to a slow
	// service are not all refused.
	durationDivisor = 2
)

// Scheduler decides which requests run. It does no I/O and must be used by one
// goroutine at a time.
type Scheduler struct {
	// total is the maximum number of running requests; at least 1.
	total   int
	running int
	// levels holds the ranks that have open requests, the most important first.
	levels []*level
	// queues maps each service that ever had a request to its queue.
	queues map[string]*serviceQueue
	// arrivals counts the tickets that entered, and numbers them.
	arrivals uint64
	// maxWaiting bounds the waiting requests of a service.
	maxWaiting int
	// startsFree is set where a request for which there is room always starts, however
	// long requests of its service take.
	startsFree bool
}

// NewScheduler returns a scheduler without requests.
func NewScheduler() *Scheduler {
	return &Scheduler{
		total:      1,
		queues:     map[string]*serviceQueue{},
		maxWaiting: math.MaxInt,
	}
}

// NewServiceScheduler returns a scheduler without requests for one service on the
// platform's store, where a request for which there is room always starts.
func NewServiceScheduler() *Scheduler {
	s := NewScheduler()
	s.maxWaiting = maxServiceWaiting
	s.startsFree = true

	return s
}

// Enter queues, starts or refuses a request. bound and total are the maximum
// numbers of running requests for its service and in all.
func (s *Scheduler) Enter(now timer.Instant, t *Ticket, bound, total int) {
	s.total = max(1, total)
	s.arrivals++
	t.number = s.arrivals
	t.maxDuration = s.maxDuration(now, t)
	q := s.serviceQueue(t.service)
	q.bound = max(1, bound)
	if s.startsFree && q.waiting > 0 { // The bound may have grown.
		s.dispatch(now)
	}
	l := s.level(t.rank)
	l.open++
	if wait := q.estimateWait(t, l.interval); q.missesDeadline(now, t, wait) {
		s.refuse(t, ReasonLate, wait)

		return
	}
	q.push(t)
	l.recordWait(now)
	if s.overflows(q) {
		dropped := q.dropCandidate()
		s.remove(q, dropped)
		s.refuse(dropped, ReasonFull, q.estimateWait(dropped, s.level(dropped.rank).interval))
	}
	s.dispatch(now)
}

// maxDuration returns the bound on the running time that is expected of a request that
// enters, or 0 where there is none.
func (s *Scheduler) maxDuration(now timer.Instant, t *Ticket) time.Duration {
	if !s.startsFree {
		return 0
	}

	return t.deadline.Sub(now) / durationDivisor
}

// overflows reports whether more requests wait in the queue than may.
func (s *Scheduler) overflows(q *serviceQueue) bool {
	return q.waiting > min(s.maxWaiting, q.bound*waitingFactor)
}

// Leave ends a request that was started.
func (s *Scheduler) Leave(now timer.Instant, t *Ticket) {
	q := s.serviceQueue(t.service)
	q.recordDuration(now.Sub(t.started))
	q.running--
	s.running--
	s.requestEnded(t)
	s.dispatch(now)
}

// Resize changes the maximum number of running requests of a service.
func (s *Scheduler) Resize(now timer.Instant, service string, bound int) {
	s.serviceQueue(service).bound = max(1, bound)
	s.dispatch(now)
}

// Cancel refuses a waiting request. It does nothing if the ticket already has
// its verdict.
func (s *Scheduler) Cancel(t *Ticket, reason Reason) {
	if q := s.serviceQueue(t.service); s.remove(q, t) {
		s.refuse(t, reason, s.retryAfter(q, t))
	}
}

// LatestStart returns the instant at which a request that still waits must be
// cancelled, since it could not be answered by its deadline.
func (s *Scheduler) LatestStart(t *Ticket) timer.Instant {
	return t.deadline.Add(-s.serviceQueue(t.service).expectedDuration(t))
}

// Waiting returns the number of requests that wait.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, q := range s.queues {
		n += q.waiting
	}

	return n
}

// Running returns the number of requests that run.
func (s *Scheduler) Running() int { return s.running }

func (s *Scheduler) serviceQueue(service string) *serviceQueue {
	if q, ok := s.queues[service]; ok {
		return q
	}
	q := s.newServiceQueue()
	s.queues[service] = q

	return q
}

func (s *Scheduler) newServiceQueue() *serviceQueue {
	return &serviceQueue{
		bound:      1,
		flows:      map[flow][]*Ticket{},
		startsFree: s.startsFree,
	}
}

// indexOf returns the index of the rank's level, or that at which it would be inserted.
func (s *Scheduler) indexOf(r ranker.Rank) (int, bool) {
	return slices.BinarySearchFunc(s.levels, r, func(l *level, r ranker.Rank) int { return l.rank.Compare(r) })
}

// level returns the level of the rank, which may be new.
func (s *Scheduler) level(r ranker.Rank) *level {
	i, ok := s.indexOf(r)
	if !ok {
		s.levels = slices.Insert(s.levels, i, newLevel(r))
	}

	return s.levels[i]
}

// remove takes a ticket out of the queue; false if it is not in it.
func (s *Scheduler) remove(q *serviceQueue, t *Ticket) bool {
	if !q.remove(t) {
		return false
	}
	s.level(t.rank).waiting--

	return true
}

// requestEnded removes a request from the open ones.
func (s *Scheduler) requestEnded(t *Ticket) {
	l := s.level(t.rank)
	l.open--
	if l.open == 0 {
		i, _ := s.indexOf(t.rank)
		s.levels = slices.Delete(s.levels, i, i+1)
	}
}

// retryAfter returns the delay after which the caller of a request that was taken out of
// the queue should retry.
func (s *Scheduler) retryAfter(q *serviceQueue, t *Ticket) time.Duration {
	if !s.startsFree {
		return q.averageDuration
	}

	return q.estimateWait(t, s.level(t.rank).interval)
}

func (s *Scheduler) refuse(t *Ticket, r Reason, wait time.Duration) {
	s.requestEnded(t)
	t.verdict <- Verdict{
		reason:     r,
		retryAfter: wait,
	}
}

// dispatch starts waiting requests while the bounds allow it.
func (s *Scheduler) dispatch(now timer.Instant) {
	for s.running < s.total {
		q, t := s.next()
		if t == nil {
			return
		}
		s.remove(q, t)
		if q.missesDeadline(now, t, 0) {
			s.refuse(t, ReasonLate, s.retryAfter(q, t))

			continue
		}
		s.level(t.rank).recordStart(now, t)
		q.running++
		s.running++
		t.started = now
		t.verdict <- Verdict{}
	}
}

// next returns the request to start next and its queue, or nil if none can start.
func (s *Scheduler) next() (*serviceQueue, *Ticket) {
	heads := make([]*Ticket, len(s.levels))
	queues := make([]*serviceQueue, len(s.levels))
	for _, q := range s.queues {
		if q.running >= q.bound {
			continue
		}
		for f, tickets := range q.flows {
			i, _ := s.indexOf(f.rank)
			if t := tickets[0]; heads[i] == nil || s.levels[i].before(t, heads[i]) {
				heads[i], queues[i] = t, q
			}
		}
	}
	i := s.chooseLevel(heads)
	if i < 0 {
		return nil, nil
	}

	return queues[i], heads[i]
}

// chooseLevel returns the index of the level to start from: the most important one,
// unless a less important one has earned its reserved share. heads holds the next request
// of each level, or nil. It returns -1 if all are nil.
func (s *Scheduler) chooseLevel(heads []*Ticket) int {
	first, others := -1, 0
	for i := range heads {
		if heads[i] == nil {
			continue
		}
		if first < 0 {
			first = i

			continue
		}
		others++
		if s.levels[i].credit >= 1 {
			s.levels[i].credit--

			return i
		}
	}
	for i := first + 1; first >= 0 && i < len(heads); i++ {
		if heads[i] != nil {
			s.levels[i].credit += min(reservedShare, maxReservedShare/float64(others))
		}
	}

	return first
}
