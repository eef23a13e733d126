package retrier

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/ranker"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// minDelay and maxDelay bound the delay of the first retry of a request to a service
	// under pressure. Each further attempt doubles them.
	minDelay = 60 * time.Millisecond
	maxDelay = 180 * time.Millisecond
	// timeLeftDivisor bounds a delay, and a Retry-After, to this part of the time left.
	timeLeftDivisor = 4
	// reservedFraction is the fraction of the retry budget of a window that is reserved
	// for the highest rank while the service is under pressure.
	reservedFraction = 0.3
	// minRetryAfter and maxRetryAfter bound the time after which a caller may return.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 400 * time.Millisecond
)

// reservedBudget is a retry budget of the whole fleet of which a part may be reserved.
type reservedBudget interface {
	fleetBudget

	// UseAbove withdraws one retry if the budget allows it and the reserve stays unused.
	// Check returns what UseAbove would decide.
	UseAbove(now timer.Instant, a tallier.Account, r tallier.Reserve) tallier.Verdict
	Check(now timer.Instant, a tallier.Account, r tallier.Reserve) tallier.Verdict
}

// pressureGauge detects services whose targets reject many attempts.
type pressureGauge interface {
	// AddAttempt counts an attempt of this VM.
	AddAttempt(now timer.Instant, service string, rejected bool)
	// Recent returns the attempts of the fleet and those rejected, of late; High reports
	// whether a service with such counts is under pressure.
	Recent(now timer.Instant, service string) (attempts, rejected float64)
	High(attempts, rejected float64) bool
}

// Plan is the decision on the retry that would follow an attempt.
type Plan struct {
	stop  handler.StopReason
	delay time.Duration
	// basis is "" where the service is not under pressure.
	basis string
}

// Stop returns the reason why no retry follows, or handler.StopNone.
func (p Plan) Stop() handler.StopReason { return p.stop }

// Delay returns how long the retry waits.
func (p Plan) Delay() time.Duration { return p.delay }

// Basis returns what the decision is based on, for the log, or "".
func (p Plan) Basis() string { return p.basis }

// SpacedRetrier decides about retries as SharedRetrier does. While targets of a service
// reject many attempts, it delays the retries of the service and reserves a part of their
// budget for the highest rank. It is safe for concurrent use.
type SpacedRetrier struct {
	*SharedRetrier

	budget   reservedBudget
	pressure pressureGauge
	ranks    *rankTable
	// random returns a number from 0 to below 1.
	random func() float64
	// spaced counts the retries that waited, and reserved those that were refused
	// because the rest of the budget is reserved.
	spaced   metrics.Counter
	reserved metrics.Counter
}

// NewSpacedRetrier returns a retrier that uses the budget, whose window has the given
// length.
func NewSpacedRetrier(b reservedBudget, p pressureGauge, window time.Duration, random func() float64) *SpacedRetrier {
	return &SpacedRetrier{
		SharedRetrier: NewSharedRetrier(b),
		budget:        b,
		pressure:      p,
		ranks:         newRankTable(window),
		random:        random,
		spaced:        metrics.NewCounter(),
		reserved:      metrics.NewCounter(),
	}
}

// Each calls f with the name and the value of each counter.
func (s *SpacedRetrier) Each(f func(name string, c metrics.Counter)) {
	s.SharedRetrier.Each(f)
	f("retries.spaced", s.spaced)
	f("retries.reserved", s.reserved)
}

// NoteRank notes the rank of a caller's request to the service.
func (s *SpacedRetrier) NoteRank(now timer.Instant, service string, r ranker.Rank) {
	s.ranks.note(now, service, r)
}

// ObserveAttempt counts an attempt that reached a target of the service.
func (s *SpacedRetrier) ObserveAttempt(now timer.Instant, service string, a *handler.Attempt) {
	if !neverReached(a) {
		s.pressure.AddAttempt(now, service, a.Fault() == handler.FaultShed)
	}
}

// UnderPressure reports whether targets of the service reject many attempts.
func (s *SpacedRetrier) UnderPressure(now timer.Instant, service string) bool {
	return s.pressure.High(s.pressure.Recent(now, service))
}

// PlanRetry decides whether a retry may follow the attempt and how long it waits. It charges
// nothing, so that a retry whose caller leaves while it waits costs nothing.
func (s *SpacedRetrier) PlanRetry(now timer.Instant, r RetryState) Plan {
	if stop := judge(now, r); stop != handler.StopNone {
		return Plan{
			stop: stop,
		}
	}
	attempts, rejected := s.pressure.Recent(now, r.Service)
	if !s.pressure.High(attempts, rejected) {
		return Plan{}
	}
	p := Plan{
		basis: fmt.Sprintf("rejected=%.0f attempts=%.0f rank=%v highest=%v", rejected, attempts, r.Rank, s.ranks.highest(now, r.Service)),
	}
	if !neverReached(r.Last) {
		p.stop = s.count(s.budget.Check(now, tallier.RetryAccount(r.Service), s.reserve(now, r)))
	}
	if p.stop == handler.StopNone {
		p.delay = s.delay(now, r)
	}
	if p.delay > 0 {
		s.spaced.Inc(1)
	}

	return p
}

// DecideRetry decides whether a retry follows the attempt now, and charges it to the
// budget, unless the attempt did not reach its target.
func (s *SpacedRetrier) DecideRetry(now timer.Instant, r RetryState) handler.StopReason {
	if stop := judge(now, r); stop != handler.StopNone || neverReached(r.Last) {
		return stop
	}
	stop := s.count(s.budget.UseAbove(now, tallier.RetryAccount(r.Service), s.reserve(now, r)))
	if stop == handler.StopNone {
		s.allowed.Inc(1)
	}

	return stop
}

// count counts a refused retry, and returns the reason why it does not follow.
func (s *SpacedRetrier) count(v tallier.Verdict) handler.StopReason {
	switch {
	case v.Granted():
		return handler.StopNone
	case v.Reserved():
		s.refused.Inc(1)
		s.reserved.Inc(1)

		return handler.StopReserved
	default:
		s.refused.Inc(1)

		return handler.StopBudget
	}
}

// reserve returns the part of the budget that the request must leave unused. Under pressure
// most targets reject attempts, of which every VM sees as many, so that each VM uses an equal
// share of the rest.
func (s *SpacedRetrier) reserve(now timer.Instant, r RetryState) tallier.Reserve {
	switch {
	case !s.UnderPressure(now, r.Service):
		return tallier.Reserve{}
	case r.Rank.Compare(s.ranks.highest(now, r.Service)) <= 0:
		return tallier.NewReserve(0)
	default:
		return tallier.NewReserve(reservedFraction)
	}
}

// delay returns how long the retry waits: a random time, and no more than a part of the time
// left.
func (s *SpacedRetrier) delay(now timer.Instant, r RetryState) time.Duration {
	d := s.between(minDelay, maxDelay) << max(0, r.Attempts-1)

	return min(d, max(0, r.Deadline.Sub(now)/timeLeftDivisor))
}

// RetryAfter returns the time after which the caller of a refused request may return. It is
// spread at random, so that callers who were refused together do not return together. A pause
// of all targets that is longer than maxRetryAfter is added.
func (s *SpacedRetrier) RetryAfter(now, deadline timer.Instant, pause time.Duration) time.Duration {
	d := s.between(minRetryAfter, maxRetryAfter)
	if pause > maxRetryAfter {
		d += pause
	}

	return s.LimitRetryAfter(now, deadline, d)
}

// LimitRetryAfter returns the time, or a part of the time left if that is less, in whole
// milliseconds, as callers get it.
func (*SpacedRetrier) LimitRetryAfter(now, deadline timer.Instant, d time.Duration) time.Duration {
	return min(d, max(0, deadline.Sub(now)/timeLeftDivisor)).Truncate(time.Millisecond)
}

// between returns a random time from low to below high.
func (s *SpacedRetrier) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random()*float64(high-low))
}
