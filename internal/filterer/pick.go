package filterer

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

type picker interface {
	// Pick returns a target for a new attempt, or false where none may be used.
	// Done must be called once with every target returned.
	Pick(now timer.Instant, service *manifester.Service, tried []string) (*manifester.Target, bool)
	// Done reports how the attempt ended and how long it took.
	Done(now timer.Instant, service *manifester.Service, target *manifester.Target, took time.Duration, r ejector.Result)
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
	err := next.Serve(ctx, x)
	end := p.clock.Now()
	r := result(x, err)
	p.picker.Done(end, x.Service(), target, end.Sub(start), r)
	if r == ejector.ResultDraining {
		p.drains.Note(end, target.Address())
	}

	return err
}

const (
	// upstreamStateField is the field by which an upstream tells that it did
	// not run a request.
	upstreamStateField = "Upstream-State"
	upstreamDraining   = "draining"
)

// result returns what an attempt is evidence of.
func result(x *handler.Exchange, err error) ejector.Result {
	if err == nil {
		return answerResult(x.Response())
	}
	var r *handler.Refusal
	if !errors.As(err, &r) {
		return ejector.ResultTimeout
	}
	switch r.Code() {
	case handler.CodeConnect:
		return ejector.ResultConnect
	case handler.CodeShed:
		return ejector.ResultShed
	case handler.CodeUpstream:
		return ejector.ResultFailed
	default:
		return ejector.ResultTimeout
	}
}

func answerResult(r *handler.Response) ejector.Result {
	switch {
	case r == nil || r.Status() < http.StatusInternalServerError:
		return ejector.ResultOK
	case r.Fields().Get(upstreamStateField) == upstreamDraining:
		return ejector.ResultDraining
	case r.Status() == http.StatusServiceUnavailable && r.Fields().Get(upstreamStateField) != "":
		return ejector.ResultShed
	default:
		return ejector.ResultFailed
	}
}
