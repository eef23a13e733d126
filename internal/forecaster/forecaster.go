// Package forecaster tells where a request would go now, and why, without sending it. It
// decides by the filters of the chain and by side-effect-free queries of the parts that they
// use, and changes no state. It does no I/O.
package forecaster

import (
	"context"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/hedger"
	"github.com/lagoonkeel/lagoonkeel/internal/placer"
	"github.com/lagoonkeel/lagoonkeel/internal/queuer"
	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

type clock interface {
	Now() timer.Instant
}

type manifestSource interface {
	Manifest() *manifester.Manifest
}

type readiness interface {
	Ready() bool
}

type closer interface {
	Closed() bool
}

type splitter interface {
	// Peek returns the service that the next request of the route goes to.
	Peek(r *manifester.Route) string
}

type suspects interface {
	// Empty reports whether no request is under suspicion.
	Empty() bool
}

type limits interface {
	// Preview returns what is left of a limit, and PreviewAcquire what is left once one more
	// request is counted.
	Preview(now timer.Instant, id tallier.Account, r tallier.Reserve) tallier.Preview
	PreviewAcquire(now timer.Instant, id tallier.Account) tallier.Preview
}

type waitQueue interface {
	// Preview returns what would be decided about the ticket at the bound.
	Preview(t *queuer.Ticket, bound int) queuer.Preview
}

type rooms interface {
	// Peek returns how many requests of the service this VM may have open.
	Peek(service string) int
}

type targets interface {
	// Preview returns the candidates for an attempt and the other targets.
	Preview(now timer.Instant, s placer.AttemptSpec) placer.Preview
}

type registry interface {
	// EvacuatedMembers returns the targets of the service in evacuated data centres.
	EvacuatedMembers(service string) []*registrar.Member
}

type retries interface {
	// PreviewReserve returns the part of the retry budget that a retry must leave unused.
	PreviewReserve(now timer.Instant, r retrier.RetryState) tallier.Reserve
}

type hedges interface {
	// Preview returns the time after which a hedge would be sent, or false if none would be.
	Preview(now timer.Instant, r hedger.Request) (time.Duration, bool)
}

// Spec lists the parts that a forecaster asks.
type Spec struct {
	Manifests  manifestSource
	Readiness  readiness
	Closer     closer
	Splitter   splitter
	Quarantine suspects
	Limits     limits
	// Queue and Rooms are nil where requests do not wait.
	Queue   waitQueue
	Rooms   rooms
	Targets targets
	// Registry knows the targets that the placer does not get to see.
	Registry registry
	Retries  retries
	// Hedges is nil where no request is hedged.
	Hedges hedges
	// TimeoutField names the header field with the caller's timeout.
	TimeoutField string
	Clock        clock
}

// Request is the request that is asked about. It has no body, key or other field.
type Request struct {
	Method string
	Host   string
	Path   string
	// Team is the name of the team whose key the request would have; "" for no key.
	Team string
}

// Forecaster answers where requests would go. It is safe for concurrent use.
type Forecaster struct {
	spec Spec
}

// New returns a forecaster.
func New(s Spec) *Forecaster {
	return &Forecaster{
		spec: s,
	}
}

// Forecast returns what would be decided about the request now. Where a filter would refuse
// it, the further ones still decide, as far as they can without the result of that filter.
func (f *Forecaster) Forecast(ctx context.Context, r Request) *Forecast {
	now := f.spec.Clock.Now()
	out := &Forecast{
		at: now,
	}
	x := handler.NewExchange(handler.NewRequest(r.Method, r.Path, "", nil), now)
	x.Request().Fields().Set("Host", r.Host)
	s := f.newSteps(out, r)
	out.verdicts = append(out.verdicts, notJudged("limit", "the command sends no body and no header fields"))
	for _, filter := range s.beforeRoute() {
		out.run(ctx, filter, x)
	}
	out.version = x.Manifest().Version()
	if x.Route() == nil {
		return out
	}
	out.route, out.service = x.Route(), x.Service()
	out.run(ctx, s.deadline(), x)
	out.verdicts = append(out.verdicts, f.quarantine())
	for _, filter := range s.afterQuarantine() {
		out.run(ctx, filter, x)
	}
	f.addRetry(now, x, out)
	f.addHedge(now, x, out)
	f.addTargets(now, x, out)

	return out
}

// quarantine returns the verdict on the content of the request, which is not known.
func (f *Forecaster) quarantine() Verdict {
	if f.spec.Quarantine.Empty() {
		return passed("quarantine", "no request is under suspicion")
	}

	return notJudged("quarantine", "requests are under suspicion; whether this one is depends on its body")
}
