package prover

import (
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

// holdingStatus is the part of a VM's status that tells what it holds.
type holdingStatus struct {
	Epoch  uint64 `json:"epoch"`
	Ranges int    `json:"ranges"`
}

func (v *vm) holdings() holdingStatus {
	var s holdingStatus
	_ = getJSON("http://"+v.operators+"/status", &s) // A VM that does not answer is seen to hold nothing.

	return s
}

// held returns the number of ranges that the VMs but skip hold. More than
// there are means that one is held twice.
func (f *fleet) held(skip *vm) int {
	f.t.Helper()
	sum := 0
	for _, v := range f.vms {
		if v != skip {
			sum += v.holdings().Ranges
		}
	}
	if sum > member.RangeCount {
		f.t.Errorf("%d ranges are held, but there are %d", sum, member.RangeCount)
	}

	return sum
}

// TestHolderTakeover strikes the VM that holds the most ranges: the others hold
// them all again, with the log up or down, and the struck VM does nothing when
// it comes back until it has its place again.
func TestHolderTakeover(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		logDown bool
		strike  func(v *vm)
		revive  func(v *vm)
	}{
		{name: "kill", strike: func(v *vm) { v.kill() }, revive: func(v *vm) { v.start() }},
		{name: "kill-log-down", logDown: true, strike: func(v *vm) { v.kill() }, revive: func(v *vm) { v.start() }},
		{name: "freeze", strike: func(v *vm) { v.freeze() }, revive: func(v *vm) { v.thaw() }},
		{name: "freeze-log-down", logDown: true, strike: func(v *vm) { v.freeze() }, revive: func(v *vm) { v.thaw() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var out strings.Builder
			f := startFleet(t, fleetSpec{vms: 4})
			waitFor(t, "every range has a holder", func() bool { return f.held(nil) == member.RangeCount })
			struck := f.busiest()
			f.logFaults(standin.LogFaults{Down: c.logDown})
			start := time.Now()
			c.strike(struck)
			waitFor(t, "the others hold every range", func() bool { return f.held(struck) == member.RangeCount })
			t.Logf("the others held every range after %v", time.Since(start).Round(10*time.Millisecond))
			c.revive(struck)
			for end := time.Now().Add(2 * member.LeaseDuration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				f.held(nil)
			}
			out.WriteString("the others hold every range, none twice\n")
			f.logFaults(standin.LogFaults{})
			waitFor(t, "the struck VM holds ranges again", func() bool { return struck.holdings().Ranges > 0 })
			waitFor(t, "every range has a holder", func() bool { return f.held(nil) == member.RangeCount })
			out.WriteString("the struck VM holds ranges again, none twice\n")
			goldie.New(t).Assert(t, "takeover-"+c.name, []byte(out.String()))
		})
	}
}

// busiest returns the VM that holds the most ranges.
func (f *fleet) busiest() *vm {
	var best *vm
	most := -1
	for _, v := range f.vms {
		if n := v.holdings().Ranges; n > most {
			best, most = v, n
		}
	}

	return best
}
