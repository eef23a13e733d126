package retrier_test

import (
	"bytes"
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// fixedLimit allows two retries in any ten seconds.
type fixedLimit struct{}

// Limit returns the same limit for every account.
func (fixedLimit) Limit(tallier.Account) (tallier.Limit, bool) {
	return tallier.NewRatio(0, 2, 10*time.Second), true
}

// TestDecideRetry compares the reasons why no retry follows with the golden transcript.
// The counters in it show that retries which are free or not allowed do not use
// the budget.
func TestDecideRetry(t *testing.T) {
	const ampleTime = time.Second
	completed := func(status int) *handler.Attempt {
		return handler.NewCompletedAttempt(nil, handler.NewResponse(status, nil))
	}
	reset := failed(handler.FaultReset, false)
	budget := tallier.New(0, fixedLimit{})
	r := retrier.NewSharedRetrier(budget)
	now := timer.Instant(time.Minute)
	var out bytes.Buffer
	for _, c := range []struct {
		name       string
		last       *handler.Attempt
		idempotent bool
		ran        int
		limit      int
		left       time.Duration
	}{
		{"booking, served", completed(200), false, 1, 2, ampleTime},
		{"booking, status 500", completed(500), false, 1, 2, ampleTime},
		{"booking, reset", reset, false, 1, 2, ampleTime},
		{"booking, shed by the target", failed(handler.FaultShed, true), false, 0, 2, ampleTime},
		{"lookup, not found", completed(404), true, 1, 2, ampleTime},
		{"lookup, the route's limit of attempts is reached", completed(500), true, 2, 2, ampleTime},
		{"lookup, 1 ms before the deadline", completed(500), true, 1, 2, time.Millisecond},
		{"lookup, canceled by the caller", failed(handler.FaultCanceled, false), true, 1, 2, ampleTime},
		{"lookup, status 500", completed(500), true, 1, 2, ampleTime},
		{"another lookup, status 500, the budget is used up", completed(500), true, 1, 2, ampleTime},
	} {
		budget.StartRound(now)
		stop := r.DecideRetry(now, retrier.RetryState{
			Service:    "s",
			Deadline:   now.Add(c.left),
			Idempotent: c.idempotent,
			Attempts:   max(1, c.ran),
			MayHaveRun: c.ran,
			Limit:      c.limit,
			Last:       c.last,
		})
		fmt.Fprintf(&out, "%s: %s\n", c.name, cmp.Or(string(stop), "again"))
	}
	r.Each(func(name string, n metrics.Counter) { fmt.Fprintf(&out, "%s %d\n", name, n.Count()) })
	goldie.New(t).Assert(t, "decide_retry", out.Bytes())
}
