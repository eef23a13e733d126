package assigner_test

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/assigner"
	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// heardVMs are the other VMs that one VM hears.
type heardVMs []string

// HeardIn returns a copy of the VMs, which are all in one data centre.
func (h *heardVMs) HeardIn(string) []string { return slices.Clone(*h) }

// newTargets returns a list of targets with entries of the form "dataCentre started".
func newTargets() *registrar.Registrar {
	return registrar.New(func(id string, value []byte) (*registrar.Entry, error) {
		var dataCentre string
		var started int64
		_, err := fmt.Sscan(string(value), &dataCentre, &started)

		return registrar.NewEntry(registrar.EntrySpec{
			Target:        manifester.TargetSpec{Name: id, Address: "10.0.0.1:80", DataCentre: dataCentre, Slots: 2},
			Service:       "quotes",
			StartedMillis: started,
		}), errors.Wrap(err, "decoding a test entry")
	}, logger.Discard())
}

// fleet is the VMs of one data centre and the targets of one service there.
type fleet struct {
	vms     []string
	targets *registrar.Registrar
}

func newFleet(vms, targets int) *fleet {
	f := &fleet{targets: newTargets()}
	for i := range vms {
		f.vms = append(f.vms, fmt.Sprintf("10.1.0.%d:7000", i+1))
	}
	records := make([]subscriber.Record, targets)
	for i := range records {
		records[i] = subscriber.NewRecord(fmt.Sprintf("target-%d", i), []byte("east 1"), subscriber.Offset(i))
	}
	f.targets.Replace(timer.Instant(time.Hour), records)

	return f
}

// assign returns the VMs that prefer each target. hears tells whether a VM hears another.
func (f *fleet) assign(hears func(a, b int) bool) map[estimator.Key][]int {
	assigned := map[estimator.Key][]int{}
	for i, self := range f.vms {
		var heard heardVMs
		for j, v := range f.vms {
			if i != j && hears(i, j) {
				heard = append(heard, v)
			}
		}
		a := assigner.New(assigner.Spec{
			Self:       self,
			DataCentre: "east",
			Fleet:      &heard,
			Targets:    f.targets,
		})
		a.Update()
		for _, m := range f.targets.Members("quotes") {
			if a.Assigned(m.Key()) {
				assigned[m.Key()] = append(assigned[m.Key()], i)
			}
		}
	}

	return assigned
}

// describe returns how evenly the targets are divided.
func (f *fleet) describe(assigned map[estimator.Key][]int) string {
	perVM := make([]int, len(f.vms))
	fewest, most := math.MaxInt, 0
	for _, m := range f.targets.Members("quotes") {
		vms := assigned[m.Key()]
		fewest, most = min(fewest, len(vms)), max(most, len(vms))
		for _, v := range vms {
			perVM[v]++
		}
	}
	total, largest, without := 0, 0, 0
	for _, n := range perVM {
		total += n
		largest = max(largest, n)
		if n == 0 {
			without++
		}
	}

	return fmt.Sprintf("a target has %d to %d VMs; a VM has %.1f targets on average, %d at most; %d VMs have none",
		fewest, most, float64(total)/float64(len(f.vms)), largest, without)
}

// TestAssignment guards against targets that no VM prefers, and against VMs that have
// almost none: in a data centre with few VMs before many targets, with many small VMs, after
// the death of a VM and while the VMs hear only some of each other.
func TestAssignment(t *testing.T) {
	var out bytes.Buffer
	all := func(int, int) bool { return true }
	for _, c := range []struct {
		title string
		f     *fleet
		hears func(a, b int) bool
	}{
		{title: "14 VMs, 39 targets", f: newFleet(14, 39), hears: all},
		{title: "46 small VMs, 14 targets", f: newFleet(46, 14), hears: all},
		{title: "15 VMs, 2 targets", f: newFleet(15, 2), hears: all},
		{title: "one VM", f: newFleet(1, 5), hears: all},
		{title: "14 VMs in two halves that do not hear each other", f: newFleet(14, 39), hears: func(a, b int) bool { return a%2 == b%2 }},
		{title: "14 VMs that have just started and hear nobody", f: newFleet(14, 39), hears: func(int, int) bool { return false }},
	} {
		fmt.Fprintf(&out, "%s: %s\n", c.title, c.f.describe(c.f.assign(c.hears)))
	}
	f := newFleet(14, 39)
	before := f.assign(all)
	dead := 3
	after := f.assign(func(_, b int) bool { return b != dead })
	moved := 0
	for k, vms := range before {
		if vms[0] != dead && vms[0] != after[k][0] && after[k][0] != dead {
			moved++
		}
	}
	fmt.Fprintf(&out, "after a VM dies, %d targets of the other VMs change their VM\n", moved)
	goldie.New(t).Assert(t, "assignment", out.Bytes())
}

// countedTargets is a list of targets that counts how often all of them are read.
type countedTargets struct {
	*registrar.Registrar
	reads int
}

// EachService counts the call.
func (c *countedTargets) EachService(f func(service string, members []*registrar.Member)) {
	c.reads++
	c.Registrar.EachService(f)
}

// TestChanges guards against a cost that grows with the fleet in each period although
// nothing has changed, and against an assignment that misses a change.
func TestChanges(t *testing.T) {
	now := timer.Instant(time.Hour)
	targets := &countedTargets{Registrar: newTargets()}
	vms := &heardVMs{}
	spec := assigner.Spec{
		Self:       "10.1.0.1:7000",
		DataCentre: "east",
		Fleet:      vms,
		Targets:    targets,
	}
	a := assigner.New(spec)
	list := func(id, entry string) {
		targets.Update(now, []subscriber.Record{subscriber.NewRecord(id, []byte(entry), 1)})
	}
	var out bytes.Buffer
	for _, c := range []struct {
		title  string
		change func()
	}{
		{"no targets", func() {}},
		{"four targets", func() {
			for _, id := range []string{"a", "b", "c", "d"} {
				list(id, "east 1")
			}
		}},
		{"no change", func() {}},
		{"targets write their entries again", func() { list("a", "east 1"); list("b", "east 1") }},
		{"other VMs are heard", func() { *vms = heardVMs{"10.1.0.2:7000", "10.1.0.3:7000", "10.1.0.4:7000"} }},
		{"in another order", func() { slices.Reverse(*vms) }},
		{"another VM instead of one", func() { (*vms)[0] = "10.1.0.5:7000" }},
		{"no other VM is heard", func() { *vms = nil }},
		{"a target starts again", func() { list("a", "east 2") }},
		{"a target moves to another data centre", func() { list("b", "west 1") }},
		{"a target leaves", func() { targets.MarkLeaving(now, targets.Members("quotes")[3].Key()) }},
		{"the data centre is evacuated", func() { targets.Evacuate(now, []string{"east"}, nil) }},
		{"the evacuation ends", func() { targets.Evacuate(now, nil, []string{"east"}) }},
		{"a target is removed", func() {
			targets.Update(now, []subscriber.Record{subscriber.NewRecord("c", nil, 2)})
		}},
		{"the list is loaded again", func() {
			targets.Replace(now, []subscriber.Record{subscriber.NewRecord("b", []byte("west 1"), 3), subscriber.NewRecord("a", []byte("east 2"), 3)})
		}},
	} {
		c.change()
		before := targets.reads
		a.Update()
		reads := targets.reads - before
		fresh := assigner.New(spec)
		fresh.Update()
		fmt.Fprintf(&out, "%s: %d computations;", c.title, reads)
		for _, m := range targets.Members("quotes") {
			if a.Assigned(m.Key()) {
				fmt.Fprintf(&out, " %s", m.Target().Name())
			}
			if a.Assigned(m.Key()) != fresh.Assigned(m.Key()) {
				t.Errorf("%s: the assignment of %s is not that of a new assigner", c.title, m.Target().Name())
			}
		}
		fmt.Fprintf(&out, " (%d in all)\n", a.Size())
		if a.Size() != fresh.Size() {
			t.Errorf("%s: %d targets are assigned, a new assigner has %d", c.title, a.Size(), fresh.Size())
		}
	}
	goldie.New(t).Assert(t, "changes", out.Bytes())
}
