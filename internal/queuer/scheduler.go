// Package queuer admits requests to upstreams in a fair order: classes by
// priority, and teams within a class by weight. A request that cannot meet its
// deadline is refused.
package queuer

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Scheduler decides which requests run. It does no I/O and must be used by one
// goroutine at a time.
type Scheduler struct {
	// total is the maximum number of running requests; at least 1.
	total   int
	running int
	// classes are in the order of priority, the highest first.
	classes []*class
	// queues maps each service that ever had a request to its queue.
	queues map[string]*serviceQueue
	// arrivals counts the tickets that entered, and numbers them.
	arrivals uint64
}

// NewScheduler returns a scheduler without requests.
func NewScheduler() *Scheduler {
	return &Scheduler{
		total:   1,
		classes: newClasses(),
		queues:  map[string]*serviceQueue{},
	}
}

// Enter queues, starts or refuses a request. bound and total are the maximum
// numbers of running requests for its service and in all.
func (s *Scheduler) Enter(now timer.Instant, t *Ticket, bound, total int) {
	s.total = max(1, total)
	s.arrivals++
	t.number = s.arrivals
	q := s.serviceQueue(t)
	q.bound = max(1, bound)
	q.class.open++
	if wait := q.estimateWait(t); q.missesDeadline(now, t, wait) {
		s.refuse(q, t, ReasonLate, wait)

		return
	}
	q.push(t)
	if q.waiting > q.bound*waitingFactor {
		dropped := q.dropCandidate()
		q.remove(dropped)
		s.refuse(q, dropped, ReasonFull, q.estimateWait(dropped))
	}
	s.dispatch(now)
}

// Leave ends a request that was started.
func (s *Scheduler) Leave(now timer.Instant, t *Ticket) {
	q := s.serviceQueue(t)
	q.recordDuration(now.Sub(t.started))
	q.running--
	s.running--
	q.class.requestEnded()
	s.dispatch(now)
}

// Cancel refuses a waiting request. It does nothing if the ticket already has
// its verdict.
func (s *Scheduler) Cancel(t *Ticket, reason Reason) {
	if q := s.serviceQueue(t); q.remove(t) {
		s.refuse(q, t, reason, q.averageDuration)
	}
}

// LatestStart returns the instant at which a request that still waits must be
// cancelled, since it could not be answered by its deadline.
func (s *Scheduler) LatestStart(t *Ticket) timer.Instant {
	return t.deadline.Add(-s.serviceQueue(t).averageDuration)
}

// Waiting returns the number of requests that wait.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, q := range s.queues {
		n += q.waiting
	}

	return n
}

func (s *Scheduler) serviceQueue(t *Ticket) *serviceQueue {
	if q, ok := s.queues[t.service]; ok && q.class.name == t.class {
		return q
	}
	q := &serviceQueue{
		class: s.class(t),
		bound: 1,
		flows: map[string][]*Ticket{},
	}
	s.queues[t.service] = q

	return q
}

func (s *Scheduler) class(t *Ticket) *class {
	for _, c := range s.classes {
		if c.name == t.class {
			return c
		}
	}

	return s.classes[len(s.classes)-1]
}

func (s *Scheduler) refuse(q *serviceQueue, t *Ticket, r Reason, wait time.Duration) {
	q.class.requestEnded()
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
		q.remove(t)
		if q.missesDeadline(now, t, 0) {
			s.refuse(q, t, ReasonLate, q.averageDuration)

			continue
		}
		q.class.recordStart(t)
		q.running++
		s.running++
		t.started = now
		t.verdict <- Verdict{}
	}
}

// next returns the request to start next and its queue, or nil if none can start.
func (s *Scheduler) next() (*serviceQueue, *Ticket) {
	heads := make([]*Ticket, len(s.classes))
	queues := make([]*serviceQueue, len(s.classes))
	for _, q := range s.queues {
		if q.running >= q.bound || q.waiting == 0 {
			continue
		}
		i := s.rank(q.class)
		if t := q.next(); heads[i] == nil || q.before(t, heads[i]) {
			heads[i], queues[i] = t, q
		}
	}
	i := s.chooseClass(heads)
	if i < 0 {
		return nil, nil
	}

	return queues[i], heads[i]
}

func (s *Scheduler) rank(c *class) int {
	for i := range s.classes {
		if s.classes[i] == c {
			return i
		}
	}

	return len(s.classes) - 1
}

// chooseClass returns the index of the class to start from: the one of the
// highest priority, unless a lower one has earned its reserved share. heads holds
// the next request of each class, or nil. It returns -1 if all are nil.
func (s *Scheduler) chooseClass(heads []*Ticket) int {
	first := -1
	for i := range heads {
		if heads[i] == nil {
			continue
		}
		if first < 0 {
			first = i

			continue
		}
		if s.classes[i].credit >= 1 {
			s.classes[i].credit--

			return i
		}
	}
	for i := first + 1; first >= 0 && i < len(heads); i++ {
		if heads[i] != nil {
			s.classes[i].credit += reservedShare
		}
	}

	return first
}
