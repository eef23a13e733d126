package measurer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/picker"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	pickingWarm = 10 * time.Second
	pickingEnd  = 30 * time.Second
	// queueWait bounds the wait for a target in a VM.
	queueWait = 250 * time.Millisecond
	// queueLength bounds the requests that wait in a VM.
	queueLength = 64
)

// fleetCapacity is the rate at which every slot is busy, in requests a second.
const fleetCapacity = float64(fleetTargets*targetSlots) / (float64(meanWork) / float64(time.Second))

// pickingResult is what one run showed.
type pickingResult struct {
	Policy  string  `json:"policy"`
	Load    float64 `json:"loadOfCapacity"`
	Seeds   int     `json:"seeds"`
	P50Ms   float64 `json:"p50Ms"`
	P99Ms   float64 `json:"p99Ms"`
	Shed    float64 `json:"shedByTargetsShare"`
	Refused float64 `json:"refusedInVMsShare"`
	SlotUse float64 `json:"slotUse"`
}

// line is one VM's queue before its picker: first in, first out, bounded in
// length and time. The baselines send at once.
type line struct {
	world   *world
	vm      int
	waiting []timer.Instant
	open    int
}

// capacity is the part of a policy that bounds a VM's requests in flight.
type capacity interface {
	Capacity(service string) int
}

func (l *line) arrive() {
	if len(l.waiting) >= queueLength {
		l.world.refuse()

		return
	}
	l.waiting = append(l.waiting, l.world.now)
	l.drain()
}

func (l *line) drain() {
	for len(l.waiting) > 0 {
		if l.world.now.Sub(l.waiting[0]) > queueWait {
			l.world.refuse()
			l.waiting = l.waiting[1:]

			continue
		}
		c, bounded := l.world.vms[l.vm].(capacity)
		if bounded && l.open >= c.Capacity(l.world.service.Name()) {
			return
		}
		arrived := l.waiting[0]
		if !l.world.attempt(l.vm, arrived, func() { l.open--; l.drain() }) {
			if l.open == 0 {
				l.world.refuse()
				l.waiting = l.waiting[1:]
			}

			return
		}
		l.open++
		l.waiting = l.waiting[1:]
	}
}

func (w *world) refuse() {
	if !w.now.Before(w.from) {
		w.result.requests++
		w.result.refused++
	}
}

// pickingRun runs one policy at one load.
func pickingRun(name string, load float64, seed uint64) (tally, float64) {
	w := newWorld(seed, fleetTargets, fleetFloor)
	w.from = w.now.Add(pickingWarm)
	switch name {
	case "lagoonkeel":
		w.addPooled(fleetVMs)
	case "round robin":
		w.addPlain(func() policy { return picker.NewRoundRobin() })
	default:
		w.addPlain(func() policy { return picker.NewRandom() })
	}
	lines := make([]*line, fleetVMs)
	for i := range lines {
		lines[i] = &line{world: w, vm: i}
	}
	w.load(func(time.Duration) float64 { return load * fleetCapacity }, func(vm int) { lines[vm].arrive() })
	w.runUntil(pickingEnd)
	busy := time.Duration(0)
	for _, s := range w.servers {
		busy += s.busyTime
	}

	return w.result, float64(busy) / float64(fleetTargets*targetSlots*(pickingEnd-pickingWarm))
}

func measurePicking(name string, load float64, seeds int) pickingResult {
	r := pickingResult{
		Policy: name,
		Load:   load,
		Seeds:  seeds,
	}
	var all tally
	for seed := range seeds {
		t, use := pickingRun(name, load, uint64(seed+1))
		all.requests += t.requests
		all.shed += t.shed
		all.refused += t.refused
		all.latencies = append(all.latencies, t.latencies...)
		r.SlotUse += use / float64(seeds)
	}
	slices.Sort(all.latencies)
	at := func(share float64) float64 {
		return float64(all.latencies[int(share*float64(len(all.latencies)-1))].Microseconds()) / 1000
	}
	r.P50Ms, r.P99Ms = at(0.5), at(0.99)
	r.Shed = float64(all.shed) / float64(all.requests)
	r.Refused = float64(all.refused) / float64(all.requests)

	return r
}

// BenchmarkPicking prints one JSON line for each policy and load.
func BenchmarkPicking(b *testing.B) {
	for b.Loop() {
		for _, load := range []float64{0.5, 0.8, 0.95, 1.2} {
			for _, p := range []string{"lagoonkeel", "random", "round robin"} {
				printJSON(measurePicking(p, load, 3))
			}
		}
	}
}

// TestPickingAims holds the picker to its aims against a random choice: below
// capacity a shorter tail, above it no more sheds, and every slot in use.
func TestPickingAims(t *testing.T) {
	var out []byte
	for _, load := range []float64{0.8, 1.2} {
		own := measurePicking("lagoonkeel", load, 1)
		random := measurePicking("random", load, 1)
		out = fmt.Appendf(out, "load %.2f: sheds no more: %v, slot use within 2%%: %v\n", load, own.Shed <= random.Shed, own.SlotUse >= random.SlotUse-0.02)
		if load < 1 {
			out = fmt.Appendf(out, "load %.2f: p99 no longer: %v\n", load, own.P99Ms <= random.P99Ms)
		}
	}
	goldie.New(t).Assert(t, "picking", out)
}
