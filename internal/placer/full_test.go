package placer_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/placer"
	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
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
		p := newPlacerOfOne(now)
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

// newPlacerOfOne returns a placer of a service with one target.
func newPlacerOfOne(now timer.Instant) *placer.Placer {
	fleet := &calmFleet{}
	targets := registrar.New(func(id string, _ []byte) (*registrar.Entry, error) {
		return registrar.NewEntry(registrar.EntrySpec{
			Target:  manifester.TargetSpec{Name: id, Address: "10.0.0.1:80", Slots: 4},
			Service: "bookings",
		}), nil
	}, logger.Discard())
	targets.Replace(now, []subscriber.Record{subscriber.NewRecord("a", []byte("-"), 1)})
	risks := estimator.New(fleet)

	return placer.New(placer.Spec{
		Targets:    targets,
		Risks:      risks,
		Observer:   risks,
		Reporter:   fleet,
		Leaving:    targets,
		RemoteLoad: fleet,
		Clock:      timer.NewService(),
		Degraded:   func(timer.Instant, string) bool { return false },
	})
}
