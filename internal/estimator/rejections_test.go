package estimator_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// TestRejectionRate compares the rejection rate of a target with the golden transcript. It
// guards against a rate that stays high after the target has recovered, and against one
// that is near 0 although a part of the requests is rejected.
func TestRejectionRate(t *testing.T) {
	now := timer.Instant(time.Hour)
	r := estimator.NewRejections()
	var out bytes.Buffer
	show := func(title string) { fmt.Fprintf(&out, "%s: %.2f\n", title, r.Rate(now, 1)) }
	attempts := func(n int, period time.Duration, rejected func(i int) bool) {
		for i := range n {
			now = now.Add(period)
			o := estimator.OutcomeServed
			if rejected(i) {
				o = estimator.OutcomeShed
			}
			r.Observe(now, 1, o)
		}
	}
	never := func(int) bool { return false }
	always := func(int) bool { return true }
	show("without evidence")
	attempts(100, 20*time.Millisecond, never)
	show("100 attempts served")
	attempts(1, 20*time.Millisecond, always)
	show("one rejected")
	attempts(100, 20*time.Millisecond, func(i int) bool { return i%20 < 11 })
	show("55 of 100 rejected, 50 a second")
	attempts(100, 20*time.Millisecond, always)
	show("all rejected, 50 a second")
	for range 4 {
		now = now.Add(time.Second)
		show("a second without evidence")
	}
	attempts(3, 200*time.Millisecond, never)
	show("three served")
	attempts(6, time.Second, always)
	show("all rejected, one a second")
	r.Observe(now, 1, estimator.OutcomeSilent)
	r.Observe(now, 1, estimator.OutcomeLeaving)
	show("outcomes that are no evidence")
	now = now.Add(2 * time.Minute)
	r.Forget(now)
	show("forgotten")
	goldie.New(t).Assert(t, "rejection_rate", out.Bytes())
}
