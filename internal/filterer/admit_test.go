package filterer_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/admitter"
	"github.com/lagoonkeel/lagoonkeel/internal/filterer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/queuer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/internal/tracer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// fixedVerdict returns the same verdict on every request.
type fixedVerdict struct{ verdict admitter.Verdict }

func (f fixedVerdict) Admit(context.Context, timer.Instant, *manifester.Team) admitter.Verdict {
	return f.verdict
}

// singleSlot is a capacity of one request at a time.
type singleSlot struct{}

func (singleSlot) Service(string) int { return 1 }
func (singleSlot) Total() int         { return 1 }

type okHandler struct{}

func (okHandler) Serve(_ context.Context, x *handler.Exchange) error {
	x.SetResponse(handler.NewResponse(200, nil))

	return nil
}

func describe(err error) string {
	if err == nil {
		return "passed on"
	}
	r, ok := err.(*handler.Refusal) //nolint:errorlint // The filters return it unwrapped.
	if !ok {
		return err.Error()
	}

	return fmt.Sprintf("%d %v retry after %v: %v", r.Code().Status(), r.Outcome(), r.RetryAfter(), r)
}

// TestAdmitAndQueue compares the results of the Admit and Queue filters with the
// golden file.
func TestAdmitAndQueue(t *testing.T) {
	var out strings.Builder
	team := manifester.NewTeam("guides", 1, 1, 1, nil)
	exchange := func(team *manifester.Team, deadline time.Duration) *handler.Exchange {
		x := handler.NewExchange(handler.NewRequest("GET", "/", "", nil), 0)
		if team != nil {
			x.SetTeam(team, "")
		}
		x.SetRoute(nil, manifester.NewService("fieldbook", manifester.ClassLookup, 0, nil))
		x.SetDeadline(timer.Instant(deadline))

		return x
	}
	for _, c := range []struct {
		name    string
		verdict admitter.Verdict
		team    *manifester.Team
	}{
		{"admitted", admitter.Admitted(), team},
		{"over the rate", admitter.Refused(3 * time.Second), team},
		{"no holder", admitter.Undecided(time.Second), team},
		{"no team", admitter.Refused(time.Second), nil},
	} {
		f := filterer.NewAdmit(fixedVerdict{verdict: c.verdict}, tracer.Off())
		fmt.Fprintf(&out, "admit, %s: %s\n", c.name, describe(f.Handle(context.Background(), exchange(c.team, time.Second), okHandler{})))
	}
	clock := timer.NewManual(0)
	q := queuer.New(clock, singleSlot{})
	f := filterer.NewQueue(q, filterer.ByClass{}, clock)
	fmt.Fprintf(&out, "queue, free: %s\n", describe(f.Handle(context.Background(), exchange(team, time.Second), okHandler{})))
	ticket := queuer.NewTicket(exchange(team, time.Minute).Service(), team, timer.Instant(time.Minute))
	q.Enter(context.Background(), ticket)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	fmt.Fprintf(&out, "queue, caller gone: %s\n", describe(f.Handle(canceled, exchange(team, time.Minute), okHandler{})))
	clock.Advance(2 * time.Second)
	fmt.Fprintf(&out, "queue, past the deadline: %s\n", describe(f.Handle(context.Background(), exchange(nil, time.Second), okHandler{})))
	q.Leave(ticket)
	fmt.Fprintf(&out, "queue, free again: %s\n", describe(f.Handle(context.Background(), exchange(nil, time.Minute), okHandler{})))
	goldie.New(t).Assert(t, "admit-and-queue", []byte(out.String()))
}
