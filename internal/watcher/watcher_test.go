package watcher_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/internal/watcher"
)

// windowLimits gives each account a limit with a window of 10 s.
type windowLimits struct{}

// Limit returns the limit.
func (windowLimits) Limit(tallier.Account) (tallier.Limit, bool) {
	return tallier.NewRatio(1, 0, 10*time.Second), true
}

// TestDegraded compares with the golden file when a service counts as degraded, for
// several loads of which requests are not served for 3 s.
func TestDegraded(t *testing.T) {
	var out bytes.Buffer
	for _, c := range []struct {
		name string
		// rate is in requests per second. One request in unservedEvery is not served
		// between 2 s and 5 s.
		rate, unservedEvery int
	}{
		{"one request in 3 not served at 60 requests/s, as when a team exceeds its rate", 60, 3},
		{"one request in 20 not served at 60 requests/s, as when targets fail some requests", 60, 20},
		{"one request in 4 not served at 4 requests/s, a service with little traffic", 4, 4},
		{"no request served at 4 requests/s, a service with little traffic", 4, 1},
	} {
		now := timer.Instant(time.Hour)
		w := watcher.New(tallier.New(now, windowLimits{}))
		fmt.Fprintf(&out, "%s:", c.name)
		for i := range 8 * c.rate {
			now = now.Add(time.Second / time.Duration(c.rate))
			w.AddRequest(now, "bookings")
			if i >= 2*c.rate && i < 5*c.rate && i%c.unservedEvery == 0 {
				w.AddUnserved(now, "bookings")
			}
			if (i+1)%c.rate == 0 {
				fmt.Fprintf(&out, " %ds=%v", (i+1)/c.rate, w.Degraded(now, "bookings"))
			}
		}
		fmt.Fprintln(&out)
	}
	goldie.New(t).Assert(t, "degraded", out.Bytes())
}
