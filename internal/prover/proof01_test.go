package prover

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

// floorMonitor polls the target table of every VM and compares the healthy
// capacity with the floor.
type floorMonitor struct {
	mu      sync.Mutex
	samples int
	// violations describes the samples with less capacity than the floor.
	violations []string
	// nearFloor is set once a sample has less than the total capacity, but no room
	// to eject one more target: fewer than 4 slots, those of a target, above the
	// floor.
	nearFloor bool
}

func (m *floorMonitor) run(ctx context.Context, f *fleet) {
	for ctx.Err() == nil {
		for _, v := range f.vms {
			s, err := v.targetTable()
			if err == nil {
				m.check(v.id, s)
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
}

func (m *floorMonitor) check(vm string, s tableService) {
	inService, total := s.capacity()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.samples++
	if inService < min(s.Floor, total) {
		m.violations = append(m.violations, fmt.Sprintf("%s: %d of %d slots, floor %d: %+v", vm, inService, total, s.Floor, s.Targets))
	}
	m.nearFloor = m.nearFloor || (inService < total && inService < s.Floor+4)
}

// TestProof01Floor guards against ejections that leave a service with too little
// capacity. Most of its targets are slow, failing, flapping or leaving at once. No
// VM's target table may ever hold less healthy capacity than the floor, or, where
// the total without ejection is below the floor, than that total.
func TestProof01Floor(t *testing.T) {
	t.Parallel()
	const floor = 20
	f := startFleet(t, fleetSpec{
		vms: 3,
		upstreams: map[string]int{
			"fieldbook": 8,
		},
	})
	f.mustPublish(trailsManifest(f, floor))
	f.waitReady()
	stop := startTrailsLoad(t, f, 12, 10*time.Millisecond)
	monitor := &floorMonitor{}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { monitor.run(ctx, f) })
	targets := f.targets["fieldbook"]
	time.Sleep(2 * time.Second) // The VMs learn the usual latency of the targets.

	var out strings.Builder
	targets[0].setFaults(t, standin.UpstreamFaults{WorkMs: 100})
	targets[1].setFaults(t, standin.UpstreamFaults{ErrorShare: 1})
	for _, u := range targets[:2] {
		waitFor(t, u.name+" is ejected on every VM", func() bool { return allGraded(f, u.name, "ejected") })
	}
	out.WriteString("a slow and a failing target are ejected on every VM\n")

	targets[2].setFaults(t, standin.UpstreamFaults{WorkMs: 100})
	targets[3].setFaults(t, standin.UpstreamFaults{ErrorShare: 0.5})
	all.Go(func() { flap(ctx, t, targets[4]) })
	f.leaving[targets[5].address] = true
	f.updateList()
	time.Sleep(6 * time.Second)
	f.leaving[targets[6].address] = true
	f.updateList()
	waitFor(t, "every VM shows the targets as leaving", func() bool {
		return allLeaving(f, targets[5].name) && allLeaving(f, targets[6].name)
	})
	time.Sleep(4 * time.Second)
	cancel()
	all.Wait()
	answers := stop()

	fmt.Fprintf(&out, "samples with less capacity than the floor: %d\n", len(monitor.violations))
	fmt.Fprintf(&out, "the floor kept unhealthy targets in service: %v\n", monitor.nearFloor)
	if monitor.samples < 100 {
		t.Errorf("only %d samples", monitor.samples)
	}
	for _, v := range monitor.violations[:min(5, len(monitor.violations))] {
		t.Log(v)
	}
	t.Logf("%d samples; answers: %v", monitor.samples, answers.counts)
	goldie.New(t).Assert(t, "proof01", []byte(out.String()))
}

func allGraded(f *fleet, name, grade string) bool {
	for _, v := range f.vms {
		if s, err := v.targetTable(); err != nil || s.grade(name) != grade {
			return false
		}
	}

	return true
}

func allLeaving(f *fleet, name string) bool {
	for _, v := range f.vms {
		if s, err := v.targetTable(); err != nil || !s.isLeaving(name) {
			return false
		}
	}

	return true
}

// flap switches a target between failing and healthy each second until ctx ends.
func flap(ctx context.Context, t *testing.T, u *upstreamProcess) {
	for bad := true; ctx.Err() == nil; bad = !bad {
		share := 0.0
		if bad {
			share = 1
		}
		u.setFaults(t, standin.UpstreamFaults{ErrorShare: share})
		time.Sleep(time.Second)
	}
}
