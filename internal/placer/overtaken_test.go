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

// TestOvertaken compares with the golden file what an attempt that its hedge overtook says
// about its target: nothing, unless its response was overdue. Without the second, hedges
// would hide a target that does not respond from the whole fleet.
func TestOvertaken(t *testing.T) {
	now := timer.Instant(time.Hour)
	fleet := &calmFleet{}
	targets := registrar.New(func(id string, _ []byte) (*registrar.Entry, error) {
		return registrar.NewEntry(registrar.EntrySpec{
			Target:  manifester.TargetSpec{Name: id, Address: "10.0.0.1:80", Slots: 4},
			Service: "bookings",
		}), nil
	}, logger.Discard())
	targets.Replace(now, []subscriber.Record{subscriber.NewRecord("a", []byte("-"), 1)})
	risks := estimator.New(fleet)
	p := placer.New(placer.Spec{
		Targets:    targets,
		Risks:      risks,
		Observer:   risks,
		Reporter:   fleet,
		Leaving:    targets,
		RemoteLoad: fleet,
		Clock:      timer.NewService(),
		Degraded:   func(timer.Instant, string) bool { return false },
	})
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
