// Package retrier decides whether a failed attempt is followed by a retry, and
// how long an attempt may wait for its first byte. It does no I/O.
package retrier

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// maxAttempts bounds the attempts of one request. SharedRetrier counts only those
	// that may have run.
	maxAttempts = 3
	// minTimeLeft is the time to the deadline below which Retrier allows no retry.
	minTimeLeft = 2 * time.Millisecond
)

// Verdict is the decision about a finished attempt.
type Verdict int

// The verdicts.
const (
	// VerdictKeep means that the attempt's result is returned to the caller.
	VerdictKeep Verdict = iota
	// VerdictRetry means that the request is sent to another target.
	VerdictRetry
)

// String returns the verdict's name.
func (v Verdict) String() string {
	if v == VerdictRetry {
		return "again"
	}

	return "keep"
}

// Retrier decides about retries with a budget of this VM for each service. It is
// safe for concurrent use and takes no lock for a service that it knows.
type Retrier struct {
	// mu serializes additions to services.
	mu sync.Mutex
	// services is replaced as a whole by each addition; never nil.
	services atomic.Pointer[map[string]*service]
}

// service holds the budget and the first-byte times of one service.
type service struct {
	budget  *Budget
	latency *Latency
}

// New returns a retrier that knows no service.
func New() *Retrier {
	r := &Retrier{}
	r.services.Store(&map[string]*service{})

	return r
}

// Begin counts a caller's request to the service.
func (r *Retrier) Begin(now timer.Instant, name string) {
	r.service(now, name).budget.Deposit()
}

// ReserveRetry returns the timeout for the first byte of the next attempt at an
// idempotent request, and reserves a retry of the budget, so that an attempt
// that times out early is retried. It returns 0 where no retry could follow; the
// attempt then waits until the deadline.
func (r *Retrier) ReserveRetry(now timer.Instant, name string, attempts int) time.Duration {
	s := r.service(now, name)
	if attempts+1 >= maxAttempts || !s.budget.Withdraw(now) {
		return 0
	}

	return s.latency.Bound()
}

// Decide determines whether a retry follows the last of the attempts so far, which
// are at least one, and records its first-byte time. A reserved retry is used or
// refunded.
func (r *Retrier) Decide(now, deadline timer.Instant, name string, idempotent, reserved bool, attempts int, a *handler.Attempt) Verdict {
	s := r.service(now, name)
	if a.FirstByte() > 0 && (a.Fault() == handler.FaultNone || a.Fault() == handler.FaultSlow) {
		s.latency.Record(a.FirstByte())
	}
	retry := attempts < maxAttempts && deadline.Sub(now) >= minTimeLeft && retryable(idempotent, a)
	if retry && !neverReached(a) {
		return spend(s.budget, now, reserved)
	}
	if reserved {
		s.budget.Refund()
	}
	if retry {
		return VerdictRetry
	}

	return VerdictKeep
}

// spend uses the reserved retry or withdraws one from the budget.
func spend(b *Budget, now timer.Instant, reserved bool) Verdict {
	if reserved || b.Withdraw(now) {
		return VerdictRetry
	}

	return VerdictKeep
}

// RefundReserved refunds the reserved retry where no attempt was made.
func (r *Retrier) RefundReserved(name string, reserved bool) {
	if s, ok := (*r.services.Load())[name]; ok && reserved {
		s.budget.Refund()
	}
}

// neverReached reports whether the attempt did not reach its target, so that a
// retry adds no load on upstreams and is not charged to the budget.
func neverReached(a *handler.Attempt) bool {
	return a.Fault() == handler.FaultConnect || a.Fault() == handler.FaultStale || a.Fault() == handler.FaultConnectionLimit
}

// retryable reports whether the request may be sent again after the attempt.
func retryable(idempotent bool, a *handler.Attempt) bool {
	switch a.Fault() {
	case handler.FaultCanceled:
		return false
	case handler.FaultNone:
		return idempotent && retryableStatus(a.Status())
	default:
		return idempotent || !a.MayHaveRun()
	}
}

// retryableStatus reports whether another target may give a better response.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

func (r *Retrier) service(now timer.Instant, name string) *service {
	if s, ok := (*r.services.Load())[name]; ok {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := *r.services.Load()
	if s, ok := old[name]; ok {
		return s
	}
	next := make(map[string]*service, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	s := &service{
		budget:  NewBudget(now),
		latency: NewLatency(),
	}
	next[name] = s
	r.services.Store(&next)

	return s
}
