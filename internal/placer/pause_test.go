package placer_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/placer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// TestPauses compares which targets may get attempts with the golden transcript, after a
// target had no capacity, asked for a pause or stated that it is about to stop.
func TestPauses(t *testing.T) {
	now := timer.Instant(time.Hour)
	fleet := &calmFleet{}
	targets := newTargets(now, "bookings", 4, "a", "b")
	p := newPlacer(fleet, targets)
	var out bytes.Buffer
	attempt := func(tried ...string) (*placer.Attempt, bool) {
		return p.Begin(now, placer.AttemptSpec{Service: "bookings", Route: "r", Tried: tried})
	}
	end := func(tried string, r placer.Result) {
		a, ok := attempt(tried)
		if !ok {
			t.Fatalf("no target is left beside %s", tried)
		}
		p.End(now, a, r)
	}
	show := func(title string) {
		fmt.Fprintf(&out, "%s:", title)
		for _, id := range []string{"a", "b"} {
			other := map[string]string{"a": "b", "b": "a"}[id]
			if a, ok := attempt(other); ok {
				fmt.Fprintf(&out, " %s", id)
				p.End(now, a, placer.Result{})
			}
		}
		fmt.Fprintf(&out, "; wait %v; reported %v\n", p.Wait(now, "bookings"), fleet.reported)
	}
	show("at first")
	end("b", placer.Result{Full: true, Pause: 2 * time.Second})
	show("a asked for a pause of 2 s")
	now = now.Add(time.Second)
	show("a second later")
	held, _ := attempt("a")
	end("a", placer.Result{Full: true, Pause: 3 * time.Second})
	show("b asked for a pause of 3 s")
	p.End(now, held, placer.Result{Outcome: estimator.OutcomeServed})
	show("b served an earlier request")
	now = now.Add(1100 * time.Millisecond)
	show("the pause of a is over")
	now = now.Add(2 * time.Second)
	show("both pauses are over")
	p.NoteFull(now, targets.Members("bookings")[0].Key())
	show("a had no capacity for another VM")
	now = now.Add(300 * time.Millisecond)
	show("soon after")
	end("b", placer.Result{Outcome: estimator.OutcomeServed, Leaving: true})
	show("a stated that it is about to stop")
	end("a", placer.Result{Outcome: estimator.OutcomeServed, Leaving: true})
	show("b stated that it is about to stop")
	goldie.New(t).Assert(t, "pauses", out.Bytes())
}
