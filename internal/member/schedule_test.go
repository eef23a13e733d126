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
	// scheduleSeed is the seed of the random schedules.
	scheduleSeed = 20261204
	// schedules is the number of schedules that TestSchedules runs.
	schedules = 150
	// mutatedSchedules is the largest number of schedules that
	// TestMutatedSchedules runs to find a counterexample.
	mutatedSchedules = 400
)

// fault changes one thing in the fleet; target selects the VM and the parameters.
type fault func(f *fleet, target uint16)

func (f *fleet) pick(target uint16) member.ID {
	nodes := f.ordered()
	if len(nodes) == 0 {
		return f.add()
	}

	return nodes[int(target)%len(nodes)].vm.ID()
}

// faults are the events of a schedule: faults, and their ends. One that stands
// twice is chosen twice as often.
var faults = []fault{
	func(f *fleet, target uint16) {
		id := f.pick(target)
		for _, o := range f.all {
			f.cut[[2]member.ID{o, id}] = true
		}
	},
	func(f *fleet, target uint16) {
		id := f.pick(target)
		for _, o := range f.all {
			f.cut[[2]member.ID{id, o}] = true
		}
	},
	func(f *fleet, target uint16) {
		f.cut[[2]member.ID{f.pick(target), f.pick(target / 8)}] = true
	},
	func(f *fleet, target uint16) { f.setPaused(f.pick(target), true) },
	func(f *fleet, target uint16) { f.setPaused(f.busiest(), target%2 == 0) },
	func(f *fleet, _ uint16) { f.resumeAll() },
	func(f *fleet, _ uint16) { f.resumeAll() },
	func(f *fleet, target uint16) {
		id := f.pick(target)
		f.kill(id)
		f.start(id)
	},
	func(f *fleet, target uint16) {
		f.remove(f.pick(target))
		f.add()
	},
	func(f *fleet, _ uint16) { f.add() },
	func(f *fleet, target uint16) { f.remove(f.pick(target)) },
	func(f *fleet, target uint16) { f.nodes[f.pick(target)].p.Resign() },
	func(f *fleet, target uint16) { f.logDown = target%2 == 0 },
	func(f *fleet, target uint16) { f.nodes[f.pick(target)].logUnreachable = true },
	func(f *fleet, target uint16) {
		id := f.pick(target)
		f.nodes[id].logUnreachable = true
		for _, o := range f.all {
			f.cut[[2]member.ID{o, id}] = target%3 == 0
		}
	},
	func(f *fleet, target uint16) {
		f.loss = float64(target%5) / 10
		f.latency = time.Duration(target%7) * 50 * time.Millisecond
	},
	func(f *fleet, _ uint16) { f.heal() },
	func(f *fleet, _ uint16) { f.heal() },
}

func (f *fleet) resumeAll() {
	for _, n := range f.nodes {
		n.paused = false
	}
}

func (f *fleet) heal() {
	for _, n := range f.nodes {
		n.logUnreachable = false
	}
	f.cut = map[[2]member.ID]bool{}
	f.loss = 0
	f.latency = step
}

// runSchedule runs a schedule and describes the first range with two active
// holders, or returns "". The simulation runs without a new fault for a while
// after each fault, so that takeovers happen. Each code of the schedule selects
// the fault, its target, and the time until the next fault.
func runSchedule(schedule []uint16, mutation string) string {
	f := newFleet(scheduleSeed, 4)
	f.skew = true
	f.mutation = mutation
	found := ""
	observe := func() {
		if found == "" {
			found = f.doubleHolder()
		}
	}
	f.run(4*time.Second, observe)
	for _, code := range schedule {
		faults[int(code)%len(faults)](f, code/16)
		f.run(time.Duration(code%9)*400*time.Millisecond, observe)
		if found != "" {
			return found
		}
	}
	f.run(4*time.Second, observe)

	return found
}

// checkSchedules runs random schedules until one fails. It shrinks a failing
// schedule only if the protocol is not mutated, since shrinking takes long and a
// failure of a mutated protocol is expected.
func checkSchedules(mutation string, tests int) *gopter.TestResult {
	parameters := gopter.DefaultTestParametersWithSeed(scheduleSeed)
	parameters.MinSuccessfulTests = tests
	parameters.MaxSize = 40
	parameters.MaxShrinkCount = 0
	if mutation == "" {
		parameters.MaxShrinkCount = 200
	}
	p := prop.ForAll(func(schedule []uint16) string {
		return runSchedule(schedule, mutation)
	}, gen.SliceOf(gen.UInt16()))

	return p.Check(parameters)
}

// TestSchedules runs random schedules of faults and checks that no range ever has
// two active holders.
func TestSchedules(t *testing.T) {
	t.Parallel()
	if r := checkSchedules("", schedules); !r.Passed() {
		t.Errorf("seed %d: %v with the schedule %v; labels %v", scheduleSeed, r.Status, r.Args, r.Labels)
	}
}

// TestMutatedSchedules disables one safety rule of the protocol at a time and
// checks that the schedules find a range with two active holders.
func TestMutatedSchedules(t *testing.T) {
	t.Parallel()
	for _, mutation := range []string{
		member.MutationNoWait,
		member.MutationDropPromises,
		member.MutationLeaseFromReply,
	} {
		t.Run(mutation, func(t *testing.T) {
			t.Parallel()
			r := checkSchedules(mutation, mutatedSchedules)
			if r.Passed() {
				t.Fatalf("%d schedules found no range with two active holders", mutatedSchedules)
			}
			t.Logf("%d schedules passed before: %v", r.Succeeded, r.Labels)
		})
	}
}

// isolate cuts a VM off from the log and the other VMs until they have removed
// it, and then restores the links but not the log. It returns the highest epoch
// and describes the first range with two active holders, or returns "".
func isolate(mutation string) (epoch uint64, found string) {
	f := newFleet(scheduleSeed, 4)
	f.mutation = mutation
	observe := func() {
		if found == "" {
			found = f.doubleHolder()
		}
	}
	f.run(4*time.Second, observe)
	id := f.busiest()
	f.nodes[id].logUnreachable = true
	f.unlisted[id] = f.now
	for _, o := range f.all {
		f.cut[[2]member.ID{o, id}] = true
		f.cut[[2]member.ID{id, o}] = true
	}
	f.run(20*time.Second, observe)
	f.cut = map[[2]member.ID]bool{}
	f.run(10*time.Second, observe)

	return f.epoch(), found
}

// TestLowerEpochsAreNotAcknowledged checks that a removed VM that does not know
// of its removal is not an active holder, and that it would be one if other VMs
// acknowledged its lower epoch.
func TestLowerEpochsAreNotAcknowledged(t *testing.T) {
	t.Parallel()
	if epoch, found := isolate(""); found != "" || epoch <= 4 {
		t.Errorf("epoch %d: %q; want the VM removed and no range with two active holders", epoch, found)
	}
	if _, found := isolate(member.MutationAckLowerEpoch); found == "" {
		t.Error("acknowledging a lower epoch led to no range with two active holders")
	}
}
