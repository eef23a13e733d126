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
		p := newPlacer(&calmFleet{}, newTargets(now, "bookings", 4, "a"))
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
	p := newPlacer(fleet, newTargets(now, "bookings", 4, "a"))
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
