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
	"github.com/lagoonkeel/lagoonkeel/internal/ranker"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/internal/watcher"
)

// spacedLimits limits the retries of the service s, and counts its attempts.
type spacedLimits struct {
	retries tallier.Limit
}

// Limit returns the limit of the retries or of the attempts of the service s.
func (l spacedLimits) Limit(a tallier.Account) (tallier.Limit, bool) {
	if a == tallier.RetryAccount("s") {
		return l.retries, true
	}

	return tallier.NewRatio(1, 0, watcher.PressureWindow), a == tallier.ShedAccount("s")
}

// newSpaced returns a policy of a VM that makes ten retries of each service in any ten
// seconds. The random numbers for its delays are all the same.
func newSpaced(window time.Duration, random float64) (*retrier.SpacedRetrier, *tallier.Tallier) {
	budget := tallier.New(0, spacedLimits{retries: tallier.NewRatio(0, 10, 10*time.Second)})

	return retrier.NewSpacedRetrier(budget, watcher.NewPressure(budget), window, func() float64 { return random }), budget
}

// TestPlanRetry compares the delays, and the reasons why no retry follows, with the golden
// transcript. It guards against delays without rejections, against delays that use up the
// time left, and against a reserve that keeps requests of the highest rank from a retry.
func TestPlanRetry(t *testing.T) {
	now := timer.Instant(time.Minute)
	r, budget := newSpaced(10*time.Second, 0.5)
	shed := failed(handler.FaultShed, true)
	served := handler.NewCompletedAttempt(nil, handler.NewResponse(200, nil))
	var out bytes.Buffer
	plan := func(title string, rank ranker.Rank, attempts int, left time.Duration, last *handler.Attempt) {
		budget.StartRound(now)
		s := retrier.RetryState{Service: "s", Deadline: now.Add(left), Attempts: attempts, Last: last, Rank: rank}
		p := r.PlanRetry(now, s)
		stop := p.Stop()
		if stop == handler.StopNone {
			stop = r.DecideRetry(now.Add(p.Delay()), s)
		}
		fmt.Fprintf(&out, "%s: %s after %v %s\n", title, cmp.Or(string(stop), "again"), p.Delay(), p.Basis())
	}
	high, low := ranker.New(0, 1), ranker.New(0, 2)
	r.NoteRank(now, "s", low)
	plan("no rejections", low, 1, time.Second, shed)
	for range 6 {
		r.ObserveAttempt(now, "s", served)
		r.ObserveAttempt(now, "s", failed(handler.FaultConnect, true))
	}
	for range 2 {
		r.ObserveAttempt(now, "s", shed)
	}
	plan("2 of 8 attempts rejected", low, 1, time.Second, shed)
	for range 2 {
		r.ObserveAttempt(now, "s", shed)
	}
	plan("4 of 10, first retry", low, 1, 4*time.Second, shed)
	plan("second retry", low, 2, 4*time.Second, shed)
	plan("third retry", low, 3, 4*time.Second, shed)
	plan("too many attempts", low, 4, 4*time.Second, shed)
	plan("200 ms left", low, 1, 200*time.Millisecond, shed)
	plan("40 ms left", low, 1, 40*time.Millisecond, shed)
	plan("may have run", low, 1, time.Second, failed(handler.FaultReset, false))
	plan("low rank is the highest seen", low, 1, time.Second, shed)
	r.NoteRank(now, "s", high)
	plan("a higher rank was seen", low, 1, time.Second, shed)
	plan("the higher rank", high, 1, time.Second, shed)
	plan("without a team", ranker.WithoutTeam(0), 1, time.Second, shed)
	plan("never reached a target", low, 1, time.Second, failed(handler.FaultConnect, true))
	plan("the higher rank", high, 1, time.Second, shed)
	plan("the higher rank, the budget is used up", high, 1, time.Second, shed)
	now = now.Add(3 * time.Second)
	plan("no rejections for 3 s", low, 1, time.Second, shed)
	fmt.Fprintf(&out, "Retry-After %v, with 1 s left %v, with 3 ms left %v, after the deadline %v, limited %v\n",
		r.RetryAfter(now, now.Add(time.Minute), 0), r.RetryAfter(now, now.Add(900*time.Millisecond), 0),
		r.RetryAfter(now, now.Add(3*time.Millisecond), 0), r.RetryAfter(now, now.Add(-time.Second), 0),
		r.LimitRetryAfter(now, now.Add(time.Second), time.Minute))
	fmt.Fprintf(&out, "all targets pause for 250 ms: %v, for 2 s: %v, with 4 s left %v\n",
		r.RetryAfter(now, now.Add(time.Minute), 250*time.Millisecond), r.RetryAfter(now, now.Add(time.Minute), 2*time.Second),
		r.RetryAfter(now, now.Add(4*time.Second), 2*time.Second))
	r.Each(func(name string, n metrics.Counter) { fmt.Fprintf(&out, "%s %d\n", name, n.Count()) })
	goldie.New(t).Assert(t, "plan_retry", out.Bytes())
}

// TestHighestRankForgotten guards against a reserve for a rank that sends no requests any
// more: the retries of all others would be refused for nothing.
func TestHighestRankForgotten(t *testing.T) {
	r, _ := newSpaced(10*time.Second, 0)
	shed := failed(handler.FaultShed, true)
	low := ranker.New(1, 0)
	basis := func(now timer.Instant) string {
		r.NoteRank(now, "s", low)
		for range 10 {
			r.ObserveAttempt(now, "s", shed)
		}

		return r.PlanRetry(now, retrier.RetryState{Service: "s", Deadline: now.Add(time.Second), Attempts: 1, Last: shed, Rank: low}).Basis()
	}
	now := timer.Instant(time.Hour)
	r.NoteRank(now, "s", ranker.New(0, 5))
	for _, c := range []struct {
		after time.Duration
		want  string
	}{
		{0, "rejected=10 attempts=10 rank=1/0 highest=0/5"},
		{9 * time.Second, "rejected=10 attempts=10 rank=1/0 highest=0/5"},
		{13 * time.Second, "rejected=10 attempts=10 rank=1/0 highest=1/0"},
	} {
		if got := basis(now.Add(c.after)); got != c.want {
			t.Errorf("after %v: %q, want %q", c.after, got, c.want)
		}
	}
}

// TestRankWithoutWindow guards against a division by zero on the path of a request where
// the settings were built without an allowance, whose window is 0.
func TestRankWithoutWindow(t *testing.T) {
	r, _ := newSpaced(0, 0)
	now := timer.Instant(time.Hour)
	r.NoteRank(now, "s", ranker.New(0, 0))
	if p := r.PlanRetry(now, retrier.RetryState{
		Service: "s", Deadline: now.Add(time.Second), Attempts: 1, Last: failed(handler.FaultShed, true),
	}); p.Stop() != handler.StopNone {
		t.Errorf("stop %q", p.Stop())
	}
}
