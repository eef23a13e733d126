package filterer

import (
	"context"

	"github.com/lagoonkeel/lagoonkeel/internal/admitter"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

type rateAdmitter interface {
	// Admit takes one request of the team's rate; it may wait for a part of the
	// time to the deadline.
	Admit(ctx context.Context, deadline timer.Instant, team *manifester.Team) admitter.Verdict
}

// Admit refuses requests over the team's rate and burst.
type Admit struct {
	admitter rateAdmitter
}

// NewAdmit returns the filter.
func NewAdmit(a rateAdmitter) *Admit {
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
	verdict := a.admitter.Admit(ctx, x.Deadline(), x.Team())
	if verdict.Admitted() {
		return next.Serve(ctx, x)
	}
	if verdict.Holderless() {
		return handler.NewRefusal(handler.CodeRateUnknown, "no holder of the team's rate can be reached").WithRetryAfter(verdict.Wait())
	}

	return handler.NewRefusal(handler.CodeOverRate, "the team is over its rate").WithRetryAfter(verdict.Wait())
}
