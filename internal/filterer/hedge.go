package filterer

import (
	"context"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/hedger"
	"github.com/lagoonkeel/lagoonkeel/internal/quarantiner"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

type hedgePolicy interface {
	// Begin counts a caller's request to the service.
	Begin(now timer.Instant, service string)
	// Delay returns the time after which the attempt that begins now may be hedged, or
	// false if it may not be.
	Delay(now timer.Instant, r hedger.Request) (time.Duration, bool)
	// Allow reports whether the request may be hedged now, and charges the hedge.
	Allow(now timer.Instant, r hedger.Request) bool
	// Record records the time that an attempt took to get a good response, or until its
	// hedge got one.
	Record(now timer.Instant, route string, took time.Duration)
	// AddWin counts a hedge whose response was passed on, and AddCanceled an attempt that
	// was canceled because the other one had won.
	AddWin()
	AddCanceled()
}

type suspects interface {
	// Empty reports whether no request is under suspicion.
	Empty() bool
	// Suspected reports whether a target crashed while it ran the request.
	Suspected(f quarantiner.Fingerprint) bool
}

type hedgeMemory interface {
	// Acquire reserves n more bytes for a body that holds some already, or none if they
	// are not left.
	Acquire(held, n int64) bool
	// Release returns n bytes that were reserved.
	Release(n int64)
}

type alarmClock interface {
	Now() timer.Instant
	After(d time.Duration) *timer.Subscription
}

// Hedge makes a second attempt at another target while the first still runs, if the policy
// allows it. The first good response wins, and the other attempt is canceled. Each attempt
// runs on a copy of the exchange.
type Hedge struct {
	policy   hedgePolicy
	suspects suspects
	memory   hedgeMemory
	clock    alarmClock
	log      eventLog
}

// NewHedge returns the filter. It releases in memory what canceled attempts held.
func NewHedge(p hedgePolicy, s suspects, memory hedgeMemory, c alarmClock, l eventLog) *Hedge {
	return &Hedge{
		policy:   p,
		suspects: s,
		memory:   memory,
		clock:    c,
		log:      l,
	}
}

// Name returns the filter's name.
func (h *Hedge) Name() string { return "hedge" }

// Handle makes one attempt, or two if the first takes long.
func (h *Hedge) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	begun := h.clock.Now()
	if len(x.History()) == 0 {
		h.policy.Begin(begun, x.Service().Name())
	}
	delay, ok := h.policy.Delay(begun, hedgeRequest(x))
	if !ok || h.crashed(x) {
		err := next.Serve(ctx, x)
		h.record(x, begun, goodResponse(x, err))

		return err
	}
	p := &attemptPair{
		filter: h,
		next:   next,
		begun:  begun,
	}

	return p.run(ctx, x, delay)
}

// record records the latency of an attempt with a good response. Latencies of requests that
// are never hedged are not needed.
func (h *Hedge) record(x *handler.Exchange, begun timer.Instant, good bool) {
	if good && x.Idempotent() {
		now := h.clock.Now()
		h.policy.Record(now, x.Route().Name(), now.Sub(begun))
	}
}

// crashed reports whether the request may have crashed a target.
func (h *Hedge) crashed(x *handler.Exchange) bool {
	for _, r := range x.History() {
		if f := r.Attempt().Fault(); f == handler.FaultReset || f == handler.FaultTruncated {
			return true
		}
	}

	return !h.suspects.Empty() && h.suspects.Suspected(fingerprint(x))
}

// hedgeRequest returns the state of the request with one more attempt in flight.
func hedgeRequest(x *handler.Exchange) hedger.Request {
	return hedger.Request{
		Service:    x.Service().Name(),
		Route:      x.Route().Name(),
		Deadline:   x.Deadline(),
		Idempotent: x.Idempotent(),
		Attempts:   len(x.History()) + 1,
		MayHaveRun: countPossibleRuns(x.History()) + 1,
		Limit:      x.Route().Attempts(),
	}
}

// goodResponse reports whether the exchange has a response that is not a failure.
func goodResponse(x *handler.Exchange, err error) bool {
	return err == nil && x.Response() != nil && !failedStatus(x.Response().Status())
}
