// Package hedger decides whether and when a second attempt at a request is made at another
// target while the first still runs. It does no I/O.
package hedger

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// minDelay is the shortest time after which a hedge is sent.
	minDelay = 50 * time.Millisecond
	// maxSamplesPerSecond bounds the latencies that one VM records, and with them the size
	// of its reports.
	maxSamplesPerSecond = 100
)

// counts holds the accounts of the whole fleet.
type counts interface {
	// AddRequest counts a request.
	AddRequest(now timer.Instant, a tallier.Account)
	// UseAll charges one use to every account, or to none.
	UseAll(now timer.Instant, ids ...tallier.Account) tallier.Verdict
	// Requested returns how many requests were counted within the span.
	Requested(now timer.Instant, ids []tallier.Account, span time.Duration) []float64
}

// Request is a request of which an attempt begins or is in flight.
type Request struct {
	Service  string
	Route    string
	Deadline timer.Instant
	// Idempotent requests may run more than once.
	Idempotent bool
	// Attempts counts the attempts at the request with the present one, and MayHaveRun
	// those of them that may have run it.
	Attempts   int
	MayHaveRun int
	// Limit is the route's bound on MayHaveRun; 0 where there is none.
	Limit int
}

// Hedger decides about hedges. It is safe for concurrent use and takes no lock of its own.
type Hedger struct {
	counts counts
	// unfit reports whether requests to the service must not be hedged, because too many of
	// them are not served or are rejected by targets.
	unfit func(now timer.Instant, service string) bool
	// routes holds a *latency for each route by name.
	routes sync.Map
	// second is the present second, and samples the latencies recorded in it.
	second  atomic.Int64
	samples atomic.Int64

	sent     metrics.Counter
	won      metrics.Counter
	canceled metrics.Counter
	refused  metrics.Counter
}

// New returns a hedger that uses the accounts. It hedges no request to a service that is
// unfit for hedges.
func New(c counts, unfit func(now timer.Instant, service string) bool) *Hedger {
	return &Hedger{
		counts:   c,
		unfit:    unfit,
		sent:     metrics.NewCounter(),
		won:      metrics.NewCounter(),
		canceled: metrics.NewCounter(),
		refused:  metrics.NewCounter(),
	}
}

// Each calls f with the name and the value of each counter.
func (h *Hedger) Each(f func(name string, c metrics.Counter)) {
	f("hedges.sent", h.sent)
	f("hedges.won", h.won)
	f("hedges.canceled", h.canceled)
	f("hedges.refused", h.refused)
}

// Begin counts a caller's request to the service.
func (h *Hedger) Begin(now timer.Instant, service string) {
	h.counts.AddRequest(now, tallier.HedgeAccount(service))
}

// Delay returns the time after which the attempt that begins now may be hedged, or false
// if it may not be.
func (h *Hedger) Delay(now timer.Instant, r Request) (time.Duration, bool) {
	if r.final() {
		return 0, false
	}

	return h.latency(r.Route).estimate(now, h.counts).delay(now, r)
}

// final reports whether the request may not have another attempt.
func (r Request) final() bool {
	return !r.Idempotent || retrier.Exhausted(r.Attempts, r.MayHaveRun, r.Limit)
}

// delay returns the time after which the attempt that begins now may be hedged, or false
// if it may not be.
func (e *estimate) delay(now timer.Instant, r Request) (time.Duration, bool) {
	delay := max(minDelay, e.hedgeAfter)

	return delay, e.usable && r.Deadline.Sub(now.Add(delay)) >= e.median
}

// Allow reports whether the request, whose attempt has been in flight for the delay, may be
// hedged now, and charges the hedge to the limit and to the retry budget.
func (h *Hedger) Allow(now timer.Instant, r Request) bool {
	e := h.latency(r.Route).estimate(now, h.counts)
	if !e.usable || r.Deadline.Sub(now) < e.median || h.unfit(now, r.Service) {
		return false
	}
	if !h.counts.UseAll(now, tallier.RetryAccount(r.Service), tallier.HedgeAccount(r.Service)).Granted() {
		h.refused.Inc(1)

		return false
	}
	h.sent.Inc(1)

	return true
}

// Record records the time that an attempt took to get a good response. For an attempt that
// was canceled because its hedge got one first, it is the time until then.
func (h *Hedger) Record(now timer.Instant, route string, took time.Duration) {
	second := int64(time.Duration(now) / time.Second)
	if h.second.Swap(second) != second {
		h.samples.Store(0)
	}
	if h.samples.Add(1) > maxSamplesPerSecond {
		return
	}
	h.counts.AddRequest(now, tallier.LatencyAccount(route, bucketOf(took)))
}

// AddWin counts a hedge whose response was passed on.
func (h *Hedger) AddWin() { h.won.Inc(1) }

// AddCanceled counts an attempt that was canceled because the other one had won.
func (h *Hedger) AddCanceled() { h.canceled.Inc(1) }

// Keep forgets the routes for which the function returns false.
func (h *Hedger) Keep(route func(name string) bool) {
	h.routes.Range(func(name, _ any) bool {
		if s, ok := name.(string); ok && !route(s) {
			h.routes.Delete(name)
		}

		return true
	})
}

func (h *Hedger) latency(route string) *latency {
	v, ok := h.routes.Load(route)
	if !ok {
		v, _ = h.routes.LoadOrStore(route, newLatency(route))
	}
	l, _ := v.(*latency) // Nothing else is stored.

	return l
}
