package filterer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/filterer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/queuer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// TestQueueByPriority guards against wrong ranks, and against refusals without a
// Retry-After, with one that is too long for the caller, or with one that lets all callers
// return together.
func TestQueueByPriority(t *testing.T) {
	clock := timer.NewManual(0)
	policy := filterer.NewByPriority(clock)
	exchange := func(team *manifester.Team) *handler.Exchange {
		x := handler.NewExchange(handler.NewRequest("GET", "/", "", nil), 0)
		if team != nil {
			x.SetTeam(team, "")
		}
		x.SetRoute(manifester.NewRoute(manifester.RouteSpec{Name: "r", Priority: 2}), manifester.NewService("fieldbook", "", 0, nil))
		x.SetDeadline(timer.Instant(3 * time.Second))

		return x
	}
	team := manifester.NewTeam("guides", 1, 1, 1, nil).WithPriority(1)
	var out bytes.Buffer
	fmt.Fprintf(&out, "rank with a team %v, without one %v\n", policy.Rank(exchange(team)), policy.Rank(exchange(nil)))
	for _, wait := range []time.Duration{0, 600 * time.Millisecond, time.Minute} {
		low, high := time.Hour, time.Duration(0)
		for range 1000 {
			d := policy.RetryAfter(exchange(team), wait)
			low, high = min(low, d), max(high, d)
		}
		fmt.Fprintf(&out, "expected wait %v: Retry-After about %v to %v\n", wait, low.Round(50*time.Millisecond), high.Round(50*time.Millisecond))
	}
	q := queuer.NewByService(clock, singleSlot{})
	first := queuer.NewTicket(exchange(team).Service(), team, timer.Instant(time.Minute))
	q.Enter(context.Background(), first)
	ctx, cancel := context.WithCancel(context.Background())
	left := make(chan error, 1)
	x := exchange(team)
	go func() { left <- filterer.NewQueue(q, policy, clock).Handle(ctx, x, okHandler{}) }()
	for q.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	clock.Advance(time.Second)
	cancel()
	var r *handler.Refusal
	if err := <-left; errors.As(err, &r) {
		fmt.Fprintf(&out, "caller left: %s %s, waited %v, still waiting %d\n", r.Outcome(), r.Reason(), x.Waited(), q.Waiting())
	}
	goldie.New(t).Assert(t, "queue-by-priority", out.Bytes())
}
