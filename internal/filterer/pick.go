package filterer

import (
	"context"
	"net/http"

	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

type picker interface {
	// Pick returns a target for a new attempt, or false where none may be used.
	// Done must be called once with every target returned.
	Pick(now timer.Instant, service *manifester.Service, tried []string) (*manifester.Target, bool)
	// Done reports how the attempt ended.
	Done(now timer.Instant, service *manifester.Service, target *manifester.Target, o ejector.Outcome)
}

type drainNoter interface {
	// Note takes in that the target at the address said that it is leaving.
	Note(now timer.Instant, address string)
}

// Pick chooses the target of an attempt and reports how the attempt ended.
type Pick struct {
	picker picker
	drains drainNoter
	clock  clock
}

// NewPick returns the filter.
func NewPick(p picker, d drainNoter, c clock) *Pick {
	return &Pick{
		picker: p,
		drains: d,
		clock:  c,
	}
}

// Name returns the filter's name.
func (p *Pick) Name() string { return "pick" }

// Handle picks a target.
func (p *Pick) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	start := p.clock.Now()
	target, ok := p.picker.Pick(start, x.Service(), x.Tried())
	if !ok {
		return handler.NewRefusal(handler.CodeNoTarget, "no target of the service can take the request")
	}
	x.SetTarget(target)
	before := x.Attempt()
	err := next.Serve(ctx, x)
	end := p.clock.Now()
	result, took := ejector.ResultNone, end.Sub(start)
	if a := x.Attempt(); a != nil && a != before {
		result = resultOf(a)
		if a.FirstByte() > 0 {
			took = a.FirstByte()
		}
	}
	p.picker.Done(end, x.Service(), target, ejector.NewOutcome(start, took, result))
	if result == ejector.ResultDraining {
		p.drains.Note(end, target.Address())
	}

	return err
}

// resultOf returns what an attempt is evidence of.
func resultOf(a *handler.Attempt) ejector.Result {
	switch a.Fault() {
	case handler.FaultNone:
		return answerResult(a.Status())
	case handler.FaultConnect:
		return ejector.ResultConnect
	case handler.FaultShed:
		return ejector.ResultShed
	case handler.FaultDraining:
		return ejector.ResultDraining
	case handler.FaultSlow, handler.FaultCanceled:
		return ejector.ResultTimeout
	case handler.FaultReset, handler.FaultTruncated, handler.FaultMalformed:
		return ejector.ResultFailed
	default:
		return ejector.ResultNone
	}
}

func answerResult(status int) ejector.Result {
	if failedAnswer(status) {
		return ejector.ResultFailed
	}

	return ejector.ResultOK
}

// failedAnswer reports whether the status of an answer is a failure of its
// target.
func failedAnswer(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusNotImplemented
}
