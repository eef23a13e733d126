package filterer

import (
	"context"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

type admitter interface {
	// Admit takes one request of the team's rate; it may wait for a part of the
	// time to the deadline. Where it is refused, wait is the time after which
	// another try may pass.
	Admit(ctx context.Context, deadline timer.Instant, team *manifester.Team) (admitted bool, wait time.Duration)
}

// Admit refuses requests over the team's rate and burst.
type Admit struct {
	admitter admitter
}

// NewAdmit returns the filter.
func NewAdmit(a admitter) *Admit {
	return &Admit{
		admitter: a,
	}
}

// Name returns the filter's name.
func (a *Admit) Name() string { return "admit" }

// Handle takes one request of the team's rate. Open routes without a team have
// no rate.
func (a *Admit) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	if x.Team() == nil {
		return next.Serve(ctx, x)
	}
	admitted, wait := a.admitter.Admit(ctx, x.Deadline(), x.Team())
	if !admitted {
		return handler.NewRefusal(handler.CodeOverRate, "the team is over its rate").WithRetryAfter(wait)
	}

	return next.Serve(ctx, x)
}
