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
	pickingWarmup = 10 * time.Second
	pickingEnd    = 30 * time.Second
	// maxQueueTime bounds the time that a request waits in the queue of a VM.
	maxQueueTime = 250 * time.Millisecond
	// maxQueueLength bounds the requests in the queue of a VM.
	maxQueueLength = 64
)

// fleetCapacity is the rate, in requests a second, at which every slot is busy.
const fleetCapacity = float64(fleetTargets*targetSlots) / (float64(meanServiceTime) / float64(time.Second))

// pickingResult holds the figures of one policy at one load.
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

// vmQueue is the first-in, first-out queue of one VM for requests that wait for the
// picker, bounded in length and time. With the baselines requests wait only while no
// target can be picked.
type vmQueue struct {
	sim      *simulation
	vm       int
	waiting  []timer.Instant
	inFlight int
}

// inFlightLimiter is implemented by policies that limit the requests that a VM has in
// flight.
type inFlightLimiter interface {
	Capacity(service string) int
}

func (q *vmQueue) enqueue() {
	if len(q.waiting) >= maxQueueLength {
		q.sim.countRefused()

		return
	}
	q.waiting = append(q.waiting, q.sim.now)
	q.dispatch()
}

func (q *vmQueue) dispatch() {
	for len(q.waiting) > 0 {
		if q.sim.now.Sub(q.waiting[0]) > maxQueueTime {
			q.sim.countRefused()
			q.waiting = q.waiting[1:]

			continue
		}
		c, bounded := q.sim.vms[q.vm].(inFlightLimiter)
		if bounded && q.inFlight >= c.Capacity(q.sim.service.Name()) {
			return
		}
		arrived := q.waiting[0]
		if !q.sim.attempt(q.vm, arrived, func() { q.inFlight--; q.dispatch() }) {
			if q.inFlight == 0 {
				q.sim.countRefused()
				q.waiting = q.waiting[1:]
			}

			return
		}
		q.inFlight++
		q.waiting = q.waiting[1:]
	}
}

func (sm *simulation) countRefused() {
	if !sm.now.Before(sm.countFrom) {
		sm.counts.requests++
		sm.counts.refused++
	}
}

// runPicking runs one policy at one load, which is a share of fleetCapacity. It returns
// the counts and the share of the slot time that was used.
func runPicking(name string, load float64, seed uint64) (requestCounts, float64) {
	sm := newSimulation(seed, fleetTargets, fleetFloor)
	sm.countFrom = sm.now.Add(pickingWarmup)
	switch name {
	case "lagoonkeel":
		sm.addPooled(fleetVMs)
	case "round robin":
		sm.addBaseline(func() policy { return picker.NewRoundRobin() })
	default:
		sm.addBaseline(func() policy { return picker.NewRandom() })
	}
	queues := make([]*vmQueue, fleetVMs)
	for i := range queues {
		queues[i] = &vmQueue{sim: sm, vm: i}
	}
	sm.generateLoad(func(time.Duration) float64 { return load * fleetCapacity }, func(vm int) { queues[vm].enqueue() })
	sm.runUntil(pickingEnd)
	busy := time.Duration(0)
	for _, s := range sm.servers {
		busy += s.busyTime
	}

	return sm.counts, float64(busy) / float64(fleetTargets*targetSlots*(pickingEnd-pickingWarmup))
}

func measurePicking(name string, load float64, seeds int) pickingResult {
	r := pickingResult{
		Policy: name,
		Load:   load,
		Seeds:  seeds,
	}
	var all requestCounts
	for seed := range seeds {
		t, use := runPicking(name, load, uint64(seed+1))
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

// TestMeasurePicking writes one JSON line for each policy and load.
func TestMeasurePicking(t *testing.T) {
	out := measureFile(t, "targets-picking.jsonl")
	for _, load := range []float64{0.5, 0.8, 0.95, 1.2} {
		for _, p := range []string{"lagoonkeel", "random", "round robin"} {
			writeLine(t, out, measurePicking(p, load, 3))
		}
	}
}

// TestPickingObjectives compares the picker with random picks: the share of shed
// requests must not be higher, the slot use must not be lower by more than 2 percentage
// points, and below capacity the 99th percentile of the latency must not be longer.
func TestPickingObjectives(t *testing.T) {
	var out []byte
	for _, load := range []float64{0.8, 1.2} {
		own := measurePicking("lagoonkeel", load, 1)
		random := measurePicking("random", load, 1)
		out = fmt.Appendf(out, "load %.2f: shed share not above random: %v, slot use within 2 points of random or above: %v\n",
			load, own.Shed <= random.Shed, own.SlotUse >= random.SlotUse-0.02)
		if load < 1 {
			out = fmt.Appendf(out, "load %.2f: p99 not above random: %v\n", load, own.P99Ms <= random.P99Ms)
		}
	}
	goldie.New(t).Assert(t, "picking", out)
}
