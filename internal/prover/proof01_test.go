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

// floorWatch looks at every VM's table again and again.
type floorWatch struct {
	mu    sync.Mutex
	looks int
	// broken lists the looks that found less than the floor.
	broken []string
	// bound is set once a look found exactly the floor.
	bound bool
}

func (w *floorWatch) run(ctx context.Context, f *fleet) {
	for ctx.Err() == nil {
		for _, v := range f.vms {
			s, err := v.table()
			if err == nil {
				w.look(v.id, s)
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
}

func (w *floorWatch) look(vm string, s tableService) {
	left, most := s.healthy()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looks++
	if left < min(s.Floor, most) {
		w.broken = append(w.broken, fmt.Sprintf("%s: %d of %d slots, floor %d: %+v", vm, left, most, s.Floor, s.Targets))
	}
	w.bound = w.bound || (left < most && left < s.Floor+4)
}

// TestProof01Floor makes most targets of a service slow, failing, flapping and
// leaving at once. No VM's table ever holds less healthy capacity than the
// floor, or than there is without ejection.
func TestProof01Floor(t *testing.T) {
	const floor = 20
	f := startFleet(t, fleetSpec{
		vms: 3,
		upstreams: map[string]int{
			"fieldbook": 8,
		},
	})
	f.mustPublish(trailsManifest(f, floor))
	f.ready()
	stop := trailsLoad(t, f, 12, 10*time.Millisecond)
	watch := &floorWatch{}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { watch.run(ctx, f) })
	targets := f.targets["fieldbook"]
	time.Sleep(2 * time.Second) // The VMs learn the usual time.

	var out strings.Builder
	targets[0].faults(t, standin.UpstreamFaults{WorkMs: 100})
	targets[1].faults(t, standin.UpstreamFaults{ErrorShare: 1})
	for _, u := range targets[:2] {
		waitFor(t, u.name+" is ejected on every VM", func() bool { return everyGrade(f, u.name, "ejected") })
	}
	out.WriteString("a slow and a failing target are ejected on every VM\n")

	targets[2].faults(t, standin.UpstreamFaults{WorkMs: 100})
	targets[3].faults(t, standin.UpstreamFaults{ErrorShare: 0.5})
	all.Go(func() { flap(ctx, t, targets[4]) })
	f.leaving[targets[5].address] = true
	f.list()
	time.Sleep(6 * time.Second)
	f.leaving[targets[6].address] = true
	f.list()
	waitFor(t, "the leaving targets are known on every VM", func() bool {
		return everyLeaves(f, targets[5].name) && everyLeaves(f, targets[6].name)
	})
	time.Sleep(4 * time.Second)
	cancel()
	all.Wait()
	sums := stop()

	fmt.Fprintf(&out, "looks that found less than the floor: %d\n", len(watch.broken))
	fmt.Fprintf(&out, "the floor kept bad targets: %v\n", watch.bound)
	if watch.looks < 100 {
		t.Errorf("only %d looks", watch.looks)
	}
	for _, b := range watch.broken[:min(5, len(watch.broken))] {
		t.Log(b)
	}
	t.Logf("%d looks; answers: %v", watch.looks, sums.counts)
	goldie.New(t).Assert(t, "proof01", []byte(out.String()))
}

func everyGrade(f *fleet, name, grade string) bool {
	for _, v := range f.vms {
		if s, err := v.table(); err != nil || s.grade(name) != grade {
			return false
		}
	}

	return true
}

func everyLeaves(f *fleet, name string) bool {
	for _, v := range f.vms {
		if s, err := v.table(); err != nil || !s.leaves(name) {
			return false
		}
	}

	return true
}

// flap switches a target between good and failing.
func flap(ctx context.Context, t *testing.T, u *upstreamProcess) {
	for bad := true; ctx.Err() == nil; bad = !bad {
		share := 0.0
		if bad {
			share = 1
		}
		u.faults(t, standin.UpstreamFaults{ErrorShare: share})
		time.Sleep(time.Second)
	}
}
