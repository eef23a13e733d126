package queuer

import (
	"time"

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
)

// serviceQueue is the queue of one service.
type serviceQueue struct {
	class *class
	// bound is the maximum number of running requests; at least 1.
	bound   int
	running int
	// flows maps each team to its waiting tickets in the order of arrival; no
	// flow is empty.
	flows   map[string][]*Ticket
	waiting int
	// averageDuration is the moving average of the running time; 0 before the
	// first sample.
	averageDuration time.Duration
}

func (q *serviceQueue) push(t *Ticket) {
	q.flows[t.team] = append(q.flows[t.team], t)
	q.waiting++
}

// remove takes a ticket out of the queue; false if it is not in it.
func (q *serviceQueue) remove(t *Ticket) bool {
	flow := q.flows[t.team]
	for i, k := range flow {
		if k != t {
			continue
		}
		if len(flow) == 1 {
			delete(q.flows, t.team)
		} else {
			q.flows[t.team] = append(flow[:i:i], flow[i+1:]...)
		}
		q.waiting--

		return true
	}

	return false
}

// next returns the ticket to start first, or nil if none waits.
func (q *serviceQueue) next() *Ticket {
	var best *Ticket
	for _, flow := range q.flows {
		if best == nil || q.before(flow[0], best) {
			best = flow[0]
		}
	}

	return best
}

func (q *serviceQueue) before(a, b *Ticket) bool {
	if x, y := q.class.startTag(a.team), q.class.startTag(b.team); x != y {
		return x < y
	}

	return a.number < b.number
}

// dropCandidate returns the newest ticket of the team with the most waiting
// requests relative to its weight. The queue must not be empty.
func (q *serviceQueue) dropCandidate() *Ticket {
	var longest []*Ticket
	for _, flow := range q.flows {
		if longest == nil || q.longer(flow, longest) {
			longest = flow
		}
	}

	return longest[len(longest)-1]
}

func (q *serviceQueue) longer(a, b []*Ticket) bool {
	x, y := float64(len(a))/a[0].weight, float64(len(b))/b[0].weight
	if x != y {
		return x > y
	}

	return a[0].team > b[0].team
}

// estimateWait returns the expected wait of a new request of the ticket's team:
// the time that the team's share of the service takes to serve its waiting
// requests and the new one.
func (q *serviceQueue) estimateWait(t *Ticket) time.Duration {
	if q.running < q.bound && q.waiting == 0 {
		return 0
	}
	weights := 0.0
	for team, flow := range q.flows {
		if team != t.team {
			weights += flow[0].weight
		}
	}
	ahead := float64(len(q.flows[t.team]) + 1)

	return time.Duration(ahead * (1 + weights/t.weight) * float64(q.averageDuration) / float64(q.bound))
}

// missesDeadline reports whether a request that starts after the wait misses its
// deadline. While no request of the service runs, the average duration is
// ignored: without new samples, a wrong average would never be corrected.
func (q *serviceQueue) missesDeadline(now timer.Instant, t *Ticket, wait time.Duration) bool {
	if q.running > 0 {
		wait += q.averageDuration
	}

	return !now.Add(wait).Before(t.deadline)
}

// recordDuration updates the moving average with a request's running time.
func (q *serviceQueue) recordDuration(took time.Duration) {
	gain := riseGain
	if q.averageDuration == 0 {
		gain = 1
	} else if took < q.averageDuration {
		gain = fallGain
	}
	q.averageDuration += time.Duration(gain * float64(took-q.averageDuration))
}
