package member_test

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
)

const (
	// scheduleSeed fixes the schedules that are tried.
	scheduleSeed = 20261204
	// schedules is the number of schedules that are tried.
	schedules = 150
	// brokenSchedules bounds the search for a counterexample.
	brokenSchedules = 400
)

// fault does one thing to the world; target picks the VM that it strikes.
type fault func(w *world, target uint16)

func (w *world) pick(target uint16) member.ID {
	nodes := w.ordered()
	if len(nodes) == 0 {
		return w.add()
	}

	return nodes[int(target)%len(nodes)].vm.ID()
}

var faults = []fault{
	func(w *world, target uint16) {
		id := w.pick(target)
		for _, o := range w.all {
			w.cut[[2]member.ID{o, id}] = true
		}
	},
	func(w *world, target uint16) {
		id := w.pick(target)
		for _, o := range w.all {
			w.cut[[2]member.ID{id, o}] = true
		}
	},
	func(w *world, target uint16) {
		w.cut[[2]member.ID{w.pick(target), w.pick(target / 8)}] = true
	},
	func(w *world, target uint16) { w.freeze(w.pick(target), true) },
	func(w *world, target uint16) { w.freeze(w.busiest(), target%2 == 0) },
	func(w *world, _ uint16) { w.thaw() },
	func(w *world, _ uint16) { w.thaw() },
	func(w *world, target uint16) {
		id := w.pick(target)
		w.kill(id)
		w.start(id)
	},
	func(w *world, target uint16) {
		w.remove(w.pick(target))
		w.add()
	},
	func(w *world, _ uint16) { w.add() },
	func(w *world, target uint16) { w.remove(w.pick(target)) },
	func(w *world, target uint16) { w.nodes[w.pick(target)].p.Resign() },
	func(w *world, target uint16) { w.logDown = target%2 == 0 },
	func(w *world, target uint16) { w.nodes[w.pick(target)].deaf = true },
	func(w *world, target uint16) {
		id := w.pick(target)
		w.nodes[id].deaf = true
		for _, o := range w.all {
			w.cut[[2]member.ID{o, id}] = target%3 == 0
		}
	},
	func(w *world, target uint16) {
		w.loss = float64(target%5) / 10
		w.latency = time.Duration(target%7) * 50 * time.Millisecond
	},
	func(w *world, _ uint16) { w.heal() },
	func(w *world, _ uint16) { w.heal() },
}

func (w *world) thaw() {
	for _, n := range w.nodes {
		n.frozen = false
	}
}

func (w *world) heal() {
	for _, n := range w.nodes {
		n.deaf = false
	}
	w.cut = map[[2]member.ID]bool{}
	w.loss = 0
	w.latency = step
}

// play runs a schedule and returns the first moment with two holders, or "".
// The world rests for a while after each fault, so that takeovers happen.
func play(schedule []uint16, broken string) string {
	w := newWorld(scheduleSeed, 4)
	w.skew = true
	w.broken = broken
	found := ""
	look := func() {
		if found == "" {
			found = w.doubled()
		}
	}
	w.run(4*time.Second, look)
	for _, code := range schedule {
		faults[int(code)%len(faults)](w, code/16)
		w.run(time.Duration(code%9)*400*time.Millisecond, look)
		if found != "" {
			return found
		}
	}
	w.run(4*time.Second, look)

	return found
}

// check tries schedules until one fails. Only an unexpected failure is worth
// the time to make its schedule smaller.
func check(broken string, tests int) *gopter.TestResult {
	parameters := gopter.DefaultTestParametersWithSeed(scheduleSeed)
	parameters.MinSuccessfulTests = tests
	parameters.MaxSize = 40
	parameters.MaxShrinkCount = 0
	if broken == "" {
		parameters.MaxShrinkCount = 200
	}
	p := prop.ForAll(func(schedule []uint16) string {
		return play(schedule, broken)
	}, gen.SliceOf(gen.UInt16()))

	return p.Check(parameters)
}

// TestSchedules tries random schedules of faults: no range ever has two active
// holders.
func TestSchedules(t *testing.T) {
	t.Parallel()
	if r := check("", schedules); !r.Passed() {
		t.Errorf("seed %d: %v with the schedule %v; labels %v", scheduleSeed, r.Status, r.Args, r.Labels)
	}
}

// TestBrokenSchedules breaks the protocol in one way at a time: the schedules
// must find two holders of one range.
func TestBrokenSchedules(t *testing.T) {
	t.Parallel()
	for _, broken := range []string{
		member.BreakWait,
		member.BreakBans,
		member.BreakSent,
	} {
		t.Run(broken, func(t *testing.T) {
			t.Parallel()
			r := check(broken, brokenSchedules)
			if r.Passed() {
				t.Fatalf("%d schedules found no fault", brokenSchedules)
			}
			t.Logf("%d schedules passed before: %v", r.Succeeded, r.Labels)
		})
	}
}

// isolate cuts a VM off from the log and the others until the others have
// removed it, and then heals the links alone. It returns the first moment with
// two holders, or "".
func isolate(broken string) (epoch uint64, found string) {
	w := newWorld(scheduleSeed, 4)
	w.broken = broken
	look := func() {
		if found == "" {
			found = w.doubled()
		}
	}
	w.run(4*time.Second, look)
	id := w.busiest()
	w.nodes[id].deaf = true
	w.unlisted[id] = w.now
	for _, o := range w.all {
		w.cut[[2]member.ID{o, id}] = true
		w.cut[[2]member.ID{id, o}] = true
	}
	w.run(20*time.Second, look)
	w.cut = map[[2]member.ID]bool{}
	w.run(10*time.Second, look)

	return w.epoch(), found
}

// TestLowerEpochsAreNotAcknowledged shows that a removed VM that knows nothing
// of its removal holds nothing, and that it would if others acknowledged its
// lower epoch.
func TestLowerEpochsAreNotAcknowledged(t *testing.T) {
	t.Parallel()
	if epoch, found := isolate(""); found != "" || epoch <= 4 {
		t.Errorf("epoch %d: %q; want the VM removed and no range with two holders", epoch, found)
	}
	if _, found := isolate(member.BreakAcks); found == "" {
		t.Error("acknowledging a lower epoch did no harm")
	}
}
