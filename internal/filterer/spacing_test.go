package filterer_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/filterer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/internal/watcher"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// spacingLimits allows two retries of each service in any ten seconds, and counts attempts.
type spacingLimits struct{}

// Limit returns the limit of the retries, or the one by which attempts are counted.
func (spacingLimits) Limit(a tallier.Account) (tallier.Limit, bool) {
	if a == tallier.RetryAccount("bookings") {
		return tallier.NewRatio(0, 2, 10*time.Second), true
	}

	return tallier.NewRatio(1, 0, watcher.PressureWindow), true
}

// noPauses stands for targets of which none is paused.
type noPauses struct{}

func (noPauses) Wait(timer.Instant, string) time.Duration { return 0 }

// promptClock advances a manual clock to the end of each wait once it begins, and counts
// the waits.
type promptClock struct {
	*timer.Manual

	waits int
}

func (c *promptClock) After(d time.Duration) *timer.Subscription {
	c.waits++
	s := c.Manual.After(d)
	c.Advance(d)

	return s
}

// newSpaced returns a policy whose service bookings is under pressure if pressed.
func newSpaced(now timer.Instant, pressed bool) *retrier.SpacedRetrier {
	budget := tallier.New(0, spacingLimits{})
	p := retrier.NewSpacedRetrier(budget, watcher.NewPressure(budget), 10*time.Second, func() float64 { return 0.5 })
	if pressed {
		for range 10 {
			p.ObserveAttempt(now, "bookings", rejected())
		}
	}

	return p
}

func rejected() *handler.Attempt {
	return handler.NewFailedAttempt(nil, handler.FaultShed, handler.NewRefusal(handler.CodeShed, "shed"))
}

// TestSpacedRepeat compares the results of sequences of attempts with the golden file. It
// guards against a refusal that promises that the request has not run although an attempt
// may have run it, against a Retry-After of more than a quarter of the time left, and
// against delays without rejections.
func TestSpacedRepeat(t *testing.T) {
	ok := handler.NewCompletedAttempt(nil, handler.NewResponse(200, nil))
	failed := handler.NewCompletedAttempt(nil, handler.NewResponse(500, nil))
	refused := handler.NewFailedAttempt(nil, handler.FaultConnect, handler.NewRefusal(handler.CodeConnect, "refused"))
	reset := handler.NewFailedAttempt(nil, handler.FaultReset, handler.NewUnknownOutcome(handler.CodeUpstream, "reset"))
	shed := rejected()
	var out bytes.Buffer
	for _, c := range []struct {
		name     string
		attempts []*handler.Attempt
	}{
		{"ok", []*handler.Attempt{ok}},
		{"500, ok", []*handler.Attempt{failed, ok}},
		{"shed, ok", []*handler.Attempt{shed, ok}},
		{"shed, shed, shed (the budget is used up)", []*handler.Attempt{shed, shed, shed}},
		{"shed, then no target", []*handler.Attempt{shed}},
		{"no target at all", nil},
		{"reset, shed, shed", []*handler.Attempt{reset, shed, shed}},
		{"reset, then no target", []*handler.Attempt{reset}},
		{"500, shed, shed", []*handler.Attempt{failed, shed, shed}},
		{"shed, reset", []*handler.Attempt{shed, reset}},
		{"refused, then no target", []*handler.Attempt{refused}},
	} {
		for _, idempotent := range []bool{true, false} {
			for _, pressed := range []bool{true, false} {
				clock := &promptClock{Manual: timer.NewManual(timer.Instant(time.Hour))}
				x := newExchange(idempotent, clock.Now())
				s := &scriptedAttempts{attempts: c.attempts}
				err := filterer.NewSpacedRepeat(newSpaced(clock.Now(), pressed), noPauses{}, clock).Handle(context.Background(), x, s)
				var r *handler.Refusal
				retryAfter := time.Duration(0)
				if errors.As(err, &r) {
					retryAfter = r.RetryAfter()
				}
				fmt.Fprintf(&out, "%s idempotent=%v pressure=%v: %s after %d attempts and %v, stop %q, Retry-After %v\n",
					c.name, idempotent, pressed, result(x, err), s.used, x.RetryDelay(), x.Stop(), retryAfter)
				if left := x.Deadline().Sub(clock.Now()); retryAfter > left/4 {
					t.Errorf("%s: Retry-After %v with %v left", c.name, retryAfter, left)
				}
				if r != nil && slices.ContainsFunc(c.attempts[:s.used], (*handler.Attempt).MayHaveRun) && (r.Outcome() == handler.OutcomeNotRun || retryAfter > 0) {
					t.Errorf("%s: a request that may have run is refused as %v with Retry-After %v", c.name, r.Outcome(), retryAfter)
				}
			}
		}
	}
	goldie.New(t).Assert(t, "spaced_repeat", out.Bytes())
}

// TestCallerLeavesWhileRetryWaits guards against a retry, or a use of the retry budget, for
// a caller who has left while the retry waited.
func TestCallerLeavesWhileRetryWaits(t *testing.T) {
	clock := newSignalingClock()
	policy := newSpaced(clock.Now(), true)
	x := newExchange(true, clock.Now())
	s := &scriptedAttempts{attempts: []*handler.Attempt{rejected(), rejected()}}
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- filterer.NewSpacedRepeat(policy, noPauses{}, clock).Handle(ctx, x, s) }()
	<-clock.subscribed
	clock.Advance(50 * time.Millisecond)
	leave()
	if err := <-done; err == nil {
		t.Error("the request was served")
	}
	if s.used != 1 || x.Stop() != handler.StopLeft || x.RetryDelay() != 50*time.Millisecond {
		t.Errorf("%d attempts, stop %q after a wait of %v; want 1, %q and 50ms", s.used, x.Stop(), x.RetryDelay(), handler.StopLeft)
	}
	policy.Each(func(name string, n metrics.Counter) {
		if name == "retries.allowed" && n.Count() != 0 {
			t.Errorf("%d retries were charged to the budget", n.Count())
		}
	})
}

// TestJournalOfSpacedRetries checks that the log line of a request tells why and for how
// long its retry waited, and has neither attribute where the service is not under pressure.
func TestJournalOfSpacedRetries(t *testing.T) {
	target := manifester.NewTarget(manifester.TargetSpec{Name: "i-1"})
	for _, pressed := range []bool{true, false} {
		clock := &promptClock{Manual: timer.NewManual(timer.Instant(time.Hour))}
		x := newExchange(true, clock.Now())
		refusal := handler.NewRefusal(handler.CodeShed, "shed")
		s := &scriptedAttempts{attempts: []*handler.Attempt{
			handler.NewFailedAttempt(target, handler.FaultShed, refusal),
			handler.NewCompletedAttempt(target, handler.NewResponse(200, nil)),
		}}
		var out bytes.Buffer
		chain := handler.NewChain(
			filterer.NewJournal(logger.New(&out, logger.FormatLogfmt, "vm-1"), "Id", clock),
			filterer.NewSpacedRepeat(newSpaced(clock.Now(), pressed), noPauses{}, clock),
			&last{next: s},
		)
		if err := chain.Serve(context.Background(), x); err != nil {
			t.Fatal(err)
		}
		const want = `retryDelayMs=120 retryBasis="rejected=11 attempts=11 rank=0/0 highest=0/0"`
		if got := out.String(); strings.Contains(got, want) != pressed || strings.Contains(got, "retryDelay") != pressed {
			t.Errorf("pressure %v: the line is %s", pressed, got)
		}
	}
}

// last is the last filter of a chain.
type last struct {
	next handler.Handler
}

// Name returns the filter's name.
func (*last) Name() string { return "last" }

// Handle passes the exchange on.
func (l *last) Handle(ctx context.Context, x *handler.Exchange, _ handler.Handler) error {
	return l.next.Serve(ctx, x)
}
