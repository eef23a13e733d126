// Package retrier decides whether a failed attempt is followed by another, and
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
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// leastLeft is the time to the deadline below which no attempt is begun.
	leastLeft = 2 * time.Millisecond
)

// Verdict is the decision about a finished attempt.
type Verdict int

// The verdicts.
const (
	// VerdictKeep means that the attempt's result goes to the caller.
	VerdictKeep Verdict = iota
	// VerdictAgain means that another target is tried.
	VerdictAgain
)

// String returns the verdict's name.
func (v Verdict) String() string {
	if v == VerdictAgain {
		return "again"
	}

	return "keep"
}

// Retrier decides about the requests of all services. It is safe for
// concurrent use and takes no lock for a service that it knows.
type Retrier struct {
	// mu serializes additions to services.
	mu sync.Mutex
	// services is replaced as a whole by each addition; never nil.
	services atomic.Pointer[map[string]*service]
}

// service is what is known of one service.
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

// Patience returns the longest wait for the first byte of an idempotent
// request's answer, and sets a retry of the budget aside, so that a request
// which is given up early is sent again. It returns 0 where no retry could
// follow; the request then waits until its deadline.
func (r *Retrier) Patience(now timer.Instant, name string, attempts int) time.Duration {
	s := r.service(now, name)
	if attempts+1 >= maxAttempts || !s.budget.Withdraw(now) {
		return 0
	}

	return s.latency.Bound()
}

// Judge decides about the last of the attempts made so far, which is at least
// one, and learns from it. The reserved retry is used or given back.
func (r *Retrier) Judge(now, deadline timer.Instant, name string, idempotent, reserved bool, attempts int, a *handler.Attempt) Verdict {
	s := r.service(now, name)
	if a.FirstByte() > 0 && (a.Fault() == handler.FaultNone || a.Fault() == handler.FaultSlow) {
		s.latency.Record(a.FirstByte())
	}
	again := attempts < maxAttempts && deadline.Sub(now) >= leastLeft && repeatable(idempotent, a)
	if again && !free(a) {
		return pay(s.budget, now, reserved)
	}
	if reserved {
		s.budget.Refund()
	}
	if again {
		return VerdictAgain
	}

	return VerdictKeep
}

// pay uses the reserved retry, or one of the budget.
func pay(b *Budget, now timer.Instant, reserved bool) Verdict {
	if reserved || b.Withdraw(now) {
		return VerdictAgain
	}

	return VerdictKeep
}

// GiveBack returns the retry that was set aside where no attempt was made.
func (r *Retrier) GiveBack(name string, reserved bool) {
	if s, ok := (*r.services.Load())[name]; ok && reserved {
		s.budget.Refund()
	}
}

// free reports whether the attempt never reached the target, so that another
// costs no upstream anything.
func free(a *handler.Attempt) bool {
	return a.Fault() == handler.FaultConnect || a.Fault() == handler.FaultStale || a.Fault() == handler.FaultBusy
}

// repeatable reports whether the request may be sent once more after the
// attempt.
func repeatable(idempotent bool, a *handler.Attempt) bool {
	switch a.Fault() {
	case handler.FaultCanceled:
		return false
	case handler.FaultNone:
		return idempotent && failedStatus(a.Status())
	default:
		return idempotent || !a.MayHaveRun()
	}
}

// failedStatus reports whether another target may do better.
func failedStatus(status int) bool {
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
