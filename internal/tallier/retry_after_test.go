package tallier_test

import (
	"testing"
	"time"
)

const (
	// callerTimeout is the time that a caller allows for its request.
	callerTimeout = 6 * time.Second
	// A caller waits at most the time that is left, divided by waitDivisor.
	waitDivisor = 3
	// maxRetries bounds how often a caller sends its request again.
	maxRetries = 4
)

// retry is a request that its caller sends again after a refusal.
type retry struct {
	at      time.Duration
	left    time.Duration
	retries int
}

// callers are the callers of a team. They retry after the wait that a refusal
// states.
type callers struct {
	fleet   *fleet
	pending []retry
	// served counts callers that were served, refused those that gave up, and
	// retriesRefused the refusals of retries.
	served         int
	refused        int
	retriesRefused int
}

// send sends a caller's request to a VM, and schedules a retry if it is refused.
func (c *callers) send(vm int, r retry) {
	v := c.fleet.talliers[vm].Acquire(c.fleet.now, team)
	switch {
	case v.Granted():
		c.served++

		return
	case r.retries > 0:
		c.retriesRefused++
	}
	wait := min(v.RetryAfter(), r.left/waitDivisor)
	if r.retries >= maxRetries || r.left-wait <= 0 {
		c.refused++

		return
	}
	c.pending = append(c.pending, retry{
		at:      time.Duration(c.fleet.now) + wait,
		left:    r.left - wait,
		retries: r.retries + 1,
	})
}

// run sends new requests at the given rate for the time d, and the retries that are
// due.
func (c *callers) run(perSecond float64, d time.Duration) {
	const step = 10 * time.Millisecond
	owed := 0.0
	f := c.fleet
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		var due []retry
		kept := c.pending[:0]
		for _, r := range c.pending {
			if r.at <= time.Duration(f.now) {
				due = append(due, r)
			} else {
				kept = append(kept, r)
			}
		}
		c.pending = kept
		for _, r := range due {
			c.send(f.rng.IntN(vms), r)
		}
		for owed += perSecond * step.Seconds(); owed >= 1; owed-- {
			c.send(f.rng.IntN(vms), retry{left: callerTimeout})
		}
		if int64(f.now)%int64(reportInterval) == 0 {
			f.exchangeReports()
		}
	}
}

// TestReturn checks the waits that refusals state, for a team that exceeds its rate
// for some seconds and whose callers retry after them. Nearly as many callers must
// be served as the rate allows until the last one gives up, and few retries may be
// refused after a short burst.
func TestReturn(t *testing.T) {
	const (
		// minServedFraction is the least fraction of the callers that the rate allows that
		// must be served.
		minServedFraction = 0.85
		// unbounded is so high that it bounds nothing: while new callers alone use up
		// the rate, no wait makes sure that a retry is granted.
		unbounded = 100
	)
	for _, s := range []struct {
		name string
		// factor is the load, as a multiple of the rate, for the duration.
		factor   float64
		duration time.Duration
		// maxRefusals bounds the refusals of retries, for each caller.
		maxRefusals float64
	}{
		{"twice the rate for 2 s", 2, 2 * time.Second, 0.3},
		{"three times the rate for 3 s", 3, 3 * time.Second, unbounded},
		{"twice the rate for 10 s", 2, 10 * time.Second, unbounded},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := &callers{fleet: newFleet()}
			c.run(rate/2, 4*time.Second)
			*c = callers{fleet: c.fleet}
			c.run(s.factor*rate, s.duration)
			c.run(rate/4, callerTimeout+time.Second)
			all := float64(c.served + c.refused)
			servable := min(all, rate*(s.duration+callerTimeout+time.Second).Seconds()+burst)
			t.Logf("of %.0f callers %d were served and %d gave up; %d retries were refused", all, c.served, c.refused, c.retriesRefused)
			if float64(c.served) < minServedFraction*servable {
				t.Errorf("%d callers were served, want at least %.0f", c.served, minServedFraction*servable)
			}
			if retriesRefused := float64(c.retriesRefused) / all; retriesRefused > s.maxRefusals {
				t.Errorf("%.2f refused retries for each caller, want at most %.2f", retriesRefused, s.maxRefusals)
			}
		})
	}
}
