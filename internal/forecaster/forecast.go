package forecaster

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/placer"
	"github.com/lagoonkeel/lagoonkeel/internal/queuer"
	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// Result is what one filter would do.
type Result string

// The results.
const (
	ResultPasses    Result = "passes"
	ResultRefuses   Result = "refuses"
	ResultNotJudged Result = "not judged"
)

// Verdict is the decision of one filter.
type Verdict struct {
	filter string
	result Result
	// code is that of a refusal; "" otherwise.
	code   handler.Code
	reason string
}

// Filter returns the name of the filter.
func (v Verdict) Filter() string { return v.filter }

// Result returns what the filter would do.
func (v Verdict) Result() Result { return v.result }

// Code returns the code of a refusal, or "".
func (v Verdict) Code() handler.Code { return v.code }

// Reason returns why, or "".
func (v Verdict) Reason() string { return v.reason }

func passed(filter, reason string) Verdict {
	return Verdict{
		filter: filter,
		result: ResultPasses,
		reason: reason,
	}
}

func notJudged(filter, reason string) Verdict {
	return Verdict{
		filter: filter,
		result: ResultNotJudged,
		reason: reason,
	}
}

func refused(filter string, err error) Verdict {
	v := Verdict{
		filter: filter,
		result: ResultRefuses,
		code:   handler.CodeInternal,
		reason: err.Error(),
	}
	var r *handler.Refusal
	if errors.As(err, &r) {
		v.code, v.reason = r.Code(), r.Reason()
	}

	return v
}

// Budget is what is left of a limit.
type Budget struct {
	allowed bool
	left    float64
	part    float64
}

func newBudget(p tallier.Preview) *Budget {
	if !p.Limited() {
		return nil
	}

	return &Budget{
		allowed: p.Allows(),
		left:    p.Left(),
		part:    p.Part(),
	}
}

// Allowed reports whether one more use is allowed.
func (b *Budget) Allowed() bool { return b.allowed }

// Left returns what the fleet may still use.
func (b *Budget) Left() float64 { return b.left }

// Part returns what this VM may still use in the present round.
func (b *Budget) Part() float64 { return b.part }

// Retry is what would follow a first attempt of which it is not known whether it ran.
type Retry struct {
	stop handler.StopReason
	// notRunStop is the same for an attempt that did not run.
	notRunStop handler.StopReason
	budget     *Budget
}

// Stop returns the reason why no retry would follow an attempt that may have run, or "".
func (r Retry) Stop() handler.StopReason { return r.stop }

// NotRunStop returns the reason why no retry would follow an attempt that did not run, or "".
func (r Retry) NotRunStop() handler.StopReason { return r.notRunStop }

// Budget returns what is left of the retry budget; nil without a limit.
func (r Retry) Budget() *Budget { return r.budget }

// Hedge is whether a hedge would be sent.
type Hedge struct {
	// reason is why none is sent; "" where one is.
	reason string
	after  time.Duration
	budget *Budget
}

// Sent reports whether a hedge would be sent if the first attempt took long enough.
func (h Hedge) Sent() bool { return h.reason == "" }

// Reason returns why no hedge would be sent, or "".
func (h Hedge) Reason() string { return h.reason }

// After returns the time after which it would be sent; 0 where none is.
func (h Hedge) After() time.Duration { return h.after }

// Budget returns what is left of the limit of hedges; nil without a limit.
func (h Hedge) Budget() *Budget { return h.budget }

// Forecast is what would be decided about a request.
type Forecast struct {
	at       timer.Instant
	version  manifester.Version
	verdicts []Verdict
	// route and what follows are zero where no route was found.
	route   *manifester.Route
	service *manifester.Service
	// rate is nil where the request has no rate limit.
	rate *Budget
	// queue is nil where requests do not wait.
	queue *queuer.Preview
	retry Retry
	// hedge is nil where no request is hedged.
	hedge   *Hedge
	targets placer.Preview
	// evacuated holds the targets of the service in evacuated data centres.
	evacuated []*registrar.Member
}

// At returns the instant of the forecast.
func (f *Forecast) At() timer.Instant { return f.at }

// Version returns the version of the configuration.
func (f *Forecast) Version() manifester.Version { return f.version }

// Verdicts returns the verdicts in the order of the chain.
func (f *Forecast) Verdicts() []Verdict { return f.verdicts }

// Route returns the route, or nil where none was found.
func (f *Forecast) Route() *manifester.Route { return f.route }

// Service returns the service, or nil where no route was found.
func (f *Forecast) Service() *manifester.Service { return f.service }

// Rate returns what is left of the team's rate; nil where the request has no rate limit.
func (f *Forecast) Rate() *Budget { return f.rate }

// Queue returns the state of the queue; nil where requests do not wait.
func (f *Forecast) Queue() *queuer.Preview { return f.queue }

// Retry returns what a retry may use.
func (f *Forecast) Retry() Retry { return f.retry }

// Hedge returns whether a hedge would be sent; nil where no request is hedged.
func (f *Forecast) Hedge() *Hedge { return f.hedge }

// Targets returns the candidates and the other targets of the service, without those in
// evacuated data centres.
func (f *Forecast) Targets() placer.Preview { return f.targets }

// Evacuated returns the targets of the service in evacuated data centres.
func (f *Forecast) Evacuated() []*registrar.Member { return f.evacuated }

// run lets a filter decide, and appends its verdict.
func (f *Forecast) run(ctx context.Context, filter handler.Filter, x *handler.Exchange) {
	if err := filter.Handle(ctx, x, end{}); err != nil {
		f.verdicts = append(f.verdicts, refused(filter.Name(), err))

		return
	}
	f.verdicts = append(f.verdicts, passed(filter.Name(), ""))
}

// end takes the place of the rest of the chain.
type end struct{}

// Serve accepts the exchange.
func (end) Serve(context.Context, *handler.Exchange) error { return nil }
