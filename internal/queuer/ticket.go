package queuer

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/ranker"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// Reason is why a request was refused; callers read its text.
type Reason string

// The reasons.
const (
	// ReasonNone is the reason of a request that was started.
	ReasonNone Reason = ""
	// ReasonLate means that the request cannot be answered by its deadline.
	ReasonLate Reason = "the request would miss its deadline in the queue"
	// ReasonFull means that the service's queue is full and that the request's team
	// has the most requests in it relative to its weight.
	ReasonFull Reason = "too many requests of the team wait for the service"
	// ReasonGone means that the context of the request ended, as it does when the
	// caller disconnects.
	ReasonGone Reason = "the caller has gone"
)

// Verdict is the scheduler's decision about a request.
type Verdict struct {
	reason Reason
	// retryAfter is the delay after which the caller should retry a refused request.
	retryAfter time.Duration
}

// Started reports whether the request may be sent.
func (v Verdict) Started() bool { return v.reason == ReasonNone }

// Reason returns why the request was refused, or ReasonNone.
func (v Verdict) Reason() Reason { return v.reason }

// RetryAfter returns the delay after which the caller should retry a refused request.
func (v Verdict) RetryAfter() time.Duration { return v.retryAfter }

// Ticket is one request in the queue.
type Ticket struct {
	service string
	rank    ranker.Rank
	team    string
	// weight is above 0.
	weight   float64
	deadline timer.Instant
	// maxDuration bounds the running time that is expected of the request, where the
	// scheduler is one of a single service.
	maxDuration time.Duration
	// started is the instant at which the request was started; 0 before.
	started timer.Instant
	// number orders tickets by arrival.
	number uint64
	// verdict receives exactly one verdict and has a buffer for it.
	verdict chan Verdict
}

// NewTicket returns the ticket of a request, with the rank of the service's class.
// Requests without a team are scheduled together, as one team of weight 1.
func NewTicket(s *manifester.Service, t *manifester.Team, deadline timer.Instant) *Ticket {
	k := &Ticket{
		service:  s.Name(),
		rank:     ranker.OfClass(s.Class()),
		weight:   1,
		deadline: deadline,
		verdict:  make(chan Verdict, 1),
	}
	if t != nil {
		k.team = t.Name()
		k.weight = t.Weight()
	}

	return k
}

// WithRank sets the rank of a ticket that has not entered a queue, and returns the ticket.
func (t *Ticket) WithRank(r ranker.Rank) *Ticket {
	t.rank = r

	return t
}

// Verdict returns the channel on which the verdict arrives.
func (t *Ticket) Verdict() <-chan Verdict { return t.verdict }

func (t *Ticket) flow() flow {
	return flow{
		rank: t.rank,
		team: t.team,
	}
}
