package tallier_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// The users' bound on the retries of a service in a window: a ratio of its requests,
// and an extra number. The requests are those of the same window, of the window
// before it or of the one half a window before it, whichever are most.
const (
	retryRatio  = 0.2
	retryExtra  = 62
	retryWindow = 10 * time.Second
)

var retryAccount = tallier.RetryAccount("bookings")

// retryLoad simulates requests of which some attempts fail and are retried. The uses
// that the fleet holds as granted are retries.
type retryLoad struct {
	*fleet
	requests         []timer.Instant
	requestedRetries int
}

// sendRequests sends requests whose attempts fail with the given probability. Each
// request has three attempts at most.
func (l *retryLoad) sendRequests(perSecond, failureRate float64, d, firstShare time.Duration) {
	l.generateLoad(perSecond, d, firstShare, func(vm int) {
		l.requests = append(l.requests, l.now)
		l.talliers[vm].AddRequest(l.now, retryAccount)
		for range 2 {
			if l.rng.Float64() >= failureRate {
				return
			}
			l.requestedRetries++
			if !l.talliers[vm].Use(l.now, retryAccount).Granted() {
				return
			}
			l.granted = append(l.granted, l.now)
		}
	})
}

// maxExcess returns the most by which the retries of a window exceed the ratio of
// the requests that the users allow; they allow retryExtra.
func (l *retryLoad) maxExcess() float64 {
	worst := 0.0
	for end := l.requests[0]; end.Before(l.now); end = end.Add(retryWindow / 40) {
		requests := 0
		for _, before := range []time.Duration{0, retryWindow / 2, retryWindow} {
			requests = max(requests, countInWindow(l.requests, end.Add(-before)))
		}
		worst = max(worst, float64(countInWindow(l.granted, end))-retryRatio*float64(requests))
	}

	return worst
}

// countInWindow counts the instants in the window that ends at end.
func countInWindow(list []timer.Instant, end timer.Instant) int {
	n := 0
	for _, at := range list {
		if !at.After(end) && end.Sub(at) < retryWindow {
			n++
		}
	}

	return n
}

// TestRetryBudget checks under several load patterns that no window has more retries
// than the users allow, and that a burst of failures after a time with few finds
// most of the budget unused. It compares the numbers with the golden file.
func TestRetryBudget(t *testing.T) {
	var out bytes.Buffer
	for _, c := range []struct {
		name string
		load func(l *retryLoad)
		// granted is the least fraction of the requested retries that must be granted.
		granted float64
	}{
		{"one attempt in ten fails", func(l *retryLoad) { l.sendRequests(70, 0.1, 30*time.Second, 0) }, 0.995},
		{"one attempt in ten fails, a third of the load at one VM", func(l *retryLoad) { l.sendRequests(70, 0.1, 30*time.Second, time.Second/3) }, 0.99},
		{"four attempts in ten fail for 8 s", func(l *retryLoad) {
			l.sendRequests(70, 0.02, 15*time.Second, 0)
			l.sendRequests(70, 0.4, 8*time.Second, 0)
		}, 0.6},
		{"nine attempts in ten of one VM fail for 8 s", func(l *retryLoad) {
			l.sendRequests(70, 0.02, 15*time.Second, 0)
			l.sendRequests(8, 0.9, 8*time.Second, time.Second)
		}, 0.6},
		{"every attempt fails", func(l *retryLoad) {
			l.sendRequests(70, 0.05, 15*time.Second, 0)
			l.sendRequests(70, 1, 30*time.Second, 0)
		}, 0},
		{"every attempt fails at a tenth of the load", func(l *retryLoad) { l.sendRequests(7, 1, 30*time.Second, 0) }, 0},
		{"every attempt fails while all VMs restart", func(l *retryLoad) {
			l.sendRequests(70, 1, 15*time.Second, 0)
			l.restart(vms)
			l.sendRequests(70, 1, 15*time.Second, 0)
		}, 0},
		{"every attempt fails while half of the VMs are cut off", func(l *retryLoad) {
			l.sendRequests(70, 0.05, 5*time.Second, 0)
			l.partition(8)
			l.sendRequests(70, 1, 20*time.Second, 0)
		}, 0},
	} {
		l := &retryLoad{fleet: newFleet()}
		c.load(l)
		granted := float64(len(l.granted)) / float64(l.requestedRetries)
		fmt.Fprintf(&out, "%s: %.0f retries over the ratio, of %d; %.3f of the retries granted\n", c.name, l.maxExcess(), retryExtra, granted)
		if l.maxExcess() > retryExtra {
			t.Errorf("%s: %.0f retries too many", c.name, l.maxExcess()-retryExtra)
		}
		if granted < c.granted {
			t.Errorf("%s: %.3f of the retries were granted, want at least %.3f", c.name, granted, c.granted)
		}
	}
	goldie.New(t).Assert(t, "retries", out.Bytes())
}
