package filterer

import (
	"context"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

type picker interface {
	// Pick returns a target for a new attempt, or false where none may be used.
	// Done must be called once with every target returned.
	Pick(now timer.Instant, service *manifester.Service, tried []string) (*manifester.Target, bool)
	// Done reports how the attempt ended; err is nil for a whole answer.
	Done(now timer.Instant, service *manifester.Service, target *manifester.Target, took time.Duration, err error)
}

// Pick chooses the target of an attempt and reports how the attempt ended.
type Pick struct {
	picker picker
	clock  clock
}

// NewPick returns the filter.
func NewPick(p picker, c clock) *Pick {
	return &Pick{
		picker: p,
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
	p.picker.Done(end, x.Service(), target, end.Sub(start), err)

	return err
}
