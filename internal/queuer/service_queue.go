package queuer

import (
	"slices"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/ranker"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// riseGain and fallGain are the weights of a sample above and below the
	// moving average of a service's running time. The average follows short
	// samples faster, so that a few slow requests do not make the queue refuse
	// the others.
	riseGain = 0.05
	fallGain = 0.3
	// waitingFactor bounds the waiting requests of a service to this multiple
	// of its bound on running ones.
	waitingFactor = 32
	// evenGain is the weight of every sample where the average is only used for requests
	// that must wait, so that their wait is not underestimated.
	evenGain = 0.1
	// durationMargin is the multiple of the average running time that is then left to a
	// request after its wait, as running times differ.
	durationMargin = 2
)

// flow identifies the requests of one rank and team.
type flow struct {
	rank ranker.Rank
	team string
}

// serviceQueue is the queue of one service.
type serviceQueue struct {
	// bound is the maximum number of running requests; at least 1.
	bound   int
	running int
	// flows holds the waiting tickets of each flow in the order of arrival; no flow is
	// empty.
	flows   map[flow][]*Ticket
	waiting int
	// averageDuration is the moving average of the running time; 0 before the
	// first sample.
	averageDuration time.Duration
	// startsFree is that of the scheduler.
	startsFree bool
}

func (q *serviceQueue) push(t *Ticket) {
	q.flows[t.flow()] = append(q.flows[t.flow()], t)
	q.waiting++
}

// remove takes a ticket out of the queue; false if it is not in it.
func (q *serviceQueue) remove(t *Ticket) bool {
	tickets := q.flows[t.flow()]
	for i, k := range tickets {
		if k != t {
			continue
		}
		switch {
		case len(tickets) == 1:
			delete(q.flows, t.flow())
		case i == 0: // The next to start, as in most cases.
			tickets[0] = nil
			q.flows[t.flow()] = tickets[1:]
		default:
			q.flows[t.flow()] = slices.Delete(tickets, i, i+1)
		}
		q.waiting--

		return true
	}

	return false
}

// dropCandidate returns the newest ticket of the team with the most waiting requests
// relative to its weight, among those of the least important rank. The queue must not be
// empty.
func (q *serviceQueue) dropCandidate() *Ticket {
	var longest []*Ticket
	for _, tickets := range q.flows {
		if longest == nil || dropsBefore(tickets, longest) {
			longest = tickets
		}
	}

	return longest[len(longest)-1]
}

// dropsBefore reports whether a ticket of the first flow is dropped before one of the
// second.
func dropsBefore(a, b []*Ticket) bool {
	if c := a[0].rank.Compare(b[0].rank); c != 0 {
		return c > 0
	}
	x, y := float64(len(a))/a[0].weight, float64(len(b))/b[0].weight
	if x != y {
		return x > y
	}

	return a[0].team > b[0].team
}

// estimateWait returns the expected wait of a new request: the time that it takes to
// serve the waiting requests of more important ranks, and then, with the share of the
// ticket's team, those of the team and the new one. While more important ones wait, it is
// not below what the last starts of the ticket's rank suggest, as more of them may
// arrive, and not above what the reserved share takes.
func (q *serviceQueue) estimateWait(t *Ticket, interval time.Duration) time.Duration {
	if q.running < q.bound && q.waiting == 0 {
		return 0
	}
	weights, before := 0.0, 0
	for f, tickets := range q.flows {
		switch c := f.rank.Compare(t.rank); {
		case c < 0:
			before += len(tickets)
		case c == 0 && f.team != t.team:
			weights += tickets[0].weight
		}
	}
	ahead := float64(len(q.flows[t.flow()])+1) * (1 + weights/t.weight)
	perStart := float64(q.averageDuration) / float64(q.bound)
	if before == 0 {
		return time.Duration(ahead * perStart)
	}
	wait := max((ahead+float64(before))*perStart, ahead*float64(interval))

	return time.Duration(min(wait, ahead*perStart/reservedShare))
}

// expectedDuration returns the running time to expect of the request.
func (q *serviceQueue) expectedDuration(t *Ticket) time.Duration {
	if !q.startsFree {
		return q.averageDuration
	}

	return min(durationMargin*q.averageDuration, t.maxDuration)
}

// missesDeadline reports whether a request that starts after the wait misses its
// deadline. While no request of the service runs, the average duration is
// ignored: without new samples, a wrong average would never be corrected.
func (q *serviceQueue) missesDeadline(now timer.Instant, t *Ticket, wait time.Duration) bool {
	if q.running > 0 {
		wait += q.expectedDuration(t)
	}

	return !now.Add(wait).Before(t.deadline)
}

// recordDuration updates the moving average with a request's running time.
func (q *serviceQueue) recordDuration(took time.Duration) {
	gain := riseGain
	switch {
	case q.averageDuration == 0:
		gain = 1
	case q.startsFree:
		gain = evenGain
	case took < q.averageDuration:
		gain = fallGain
	}
	q.averageDuration += time.Duration(gain * float64(took-q.averageDuration))
}
