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
	targets := placer.NewTargets(now, "bookings", 4, "a", "b")
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

// TestFullTarget compares with the golden file which results of attempts end the time for
// which a target without capacity gets none. An attempt that was canceled says nothing about
// capacity; if it ended that time, each canceled hedge would send requests to a full target.
func TestFullTarget(t *testing.T) {
	var out bytes.Buffer
	for _, c := range []struct {
		name   string
		result placer.Result
	}{
		{"canceled by the caller", placer.Result{}},
		{"overtaken before it was overdue", placer.Result{Overtaken: true}},
		{"without capacity", placer.Result{Full: true}},
		{"served", placer.Result{Outcome: estimator.OutcomeServed}},
		{"failed", placer.Result{Outcome: estimator.OutcomeFailed}},
	} {
		now := timer.Instant(time.Hour)
		p := newPlacer(&calmFleet{}, placer.NewTargets(now, "bookings", 4, "a"))
		var attempts []*placer.Attempt
		for range 2 {
			a, ok := p.Begin(now, placer.AttemptSpec{Service: "bookings", Route: "r", LatencyGoal: time.Second})
			if !ok {
				t.Fatal("no target")
			}
			attempts = append(attempts, a)
		}
		p.End(now, attempts[0], placer.Result{Full: true})
		now = now.Add(50 * time.Millisecond)
		p.End(now, attempts[1], c.result)
		fmt.Fprintf(&out, "%s: wait %v\n", c.name, p.Wait(now, "bookings"))
	}
	goldie.New(t).Assert(t, "full", out.Bytes())
}

// TestOvertaken compares with the golden file what an attempt that its hedge overtook says
// about its target: nothing, unless its response was overdue. Without the second, hedges
// would hide a target that does not respond from the whole fleet.
func TestOvertaken(t *testing.T) {
	now := timer.Instant(time.Hour)
	fleet := &calmFleet{}
	p := newPlacer(fleet, placer.NewTargets(now, "bookings", 4, "a"))
	var out bytes.Buffer
	for _, c := range []struct {
		name      string
		after     time.Duration
		overtaken bool
	}{
		{"overtaken before it was overdue", 300 * time.Millisecond, true},
		{"overtaken when it was overdue", 2 * time.Second, true},
		{"canceled by the caller when it was overdue", 2 * time.Second, false},
	} {
		fleet.reported = nil
		a, ok := p.Begin(now, placer.AttemptSpec{Service: "bookings", Route: "r", LatencyGoal: time.Second})
		if !ok {
			t.Fatal("no target")
		}
		now = now.Add(c.after)
		p.End(now, a, placer.Result{Overtaken: c.overtaken})
		open := 0
		p.OpenAttempts(func(_ estimator.Key, n int) { open += n })
		fmt.Fprintf(&out, "%s: reported %v, %d open\n", c.name, fleet.reported, open)
	}
	goldie.New(t).Assert(t, "overtaken", out.Bytes())
}
