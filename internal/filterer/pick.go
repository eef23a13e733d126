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
	// Pick returns a target for a new attempt, or false if none is available.
	// Done must be called once for every target returned.
	Pick(now timer.Instant, service *manifester.Service, tried []string) (*manifester.Target, bool)
	// Done reports how the attempt ended.
	Done(now timer.Instant, service *manifester.Service, target *manifester.Target, o ejector.Outcome)
}

type drainRecorder interface {
	// NoteDraining records that the target at the address reported that it is draining.
	NoteDraining(now timer.Instant, address string)
}

// Pick chooses the target of an attempt from those of the manifest, and reports how
// the attempt ended. It is the counterpart of Place for VMs that run on the log.
type Pick struct {
	picker picker
	drains drainRecorder
	clock  clock
}

// NewPick returns the filter.
func NewPick(p picker, d drainRecorder, c clock) *Pick {
	return &Pick{
		picker: p,
		drains: d,
		clock:  c,
	}
}

// Name returns the filter's name.
func (p *Pick) Name() string { return "pick" }

// Handle picks a target, passes the exchange on and reports how the attempt
// ended.
func (p *Pick) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	start := p.clock.Now()
	target, ok := p.picker.Pick(start, x.Service(), x.Tried())
	if !ok {
		return handler.NewRefusal(handler.CodeNoTarget, "no target of the service can take the request")
	}
	x.SetTarget(target)
	previous := x.Attempt()
	err := next.Serve(ctx, x)
	end := p.clock.Now()
	result, took := ejector.ResultNone, end.Sub(start)
	if a := x.Attempt(); a != nil && a != previous {
		result = resultOf(a)
		if a.FirstByte() > 0 {
			took = a.FirstByte()
		}
	}
	p.picker.Done(end, x.Service(), target, ejector.NewOutcome(start, took, result))
	if result == ejector.ResultDraining {
		p.drains.NoteDraining(end, target.Address())
	}

	return err
}

// resultOf returns what the result of an attempt implies about its target.
func resultOf(a *handler.Attempt) ejector.Result {
	switch a.Fault() {
	case handler.FaultNone:
		return resultOfStatus(a.Status())
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

func resultOfStatus(status int) ejector.Result {
	if failedStatus(status) {
		return ejector.ResultFailed
	}

	return ejector.ResultOK
}

// failedStatus reports whether a response with the status counts as a failure of
// its target: 500 and above, except 501.
func failedStatus(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusNotImplemented
}
