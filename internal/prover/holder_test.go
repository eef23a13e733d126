package prover

import (
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

// rangeStatus holds the fields of a VM's status page that show the ranges it holds.
type rangeStatus struct {
	Epoch  uint64 `json:"epoch"`
	Ranges int    `json:"ranges"`
}

func (v *vm) readRangeStatus() rangeStatus {
	var s rangeStatus
	_ = getJSON("http://"+v.operatorsAddr+"/status", &s) // A VM that does not answer counts as holding no range.

	return s
}

// heldRanges returns the number of ranges that the VMs other than skip hold. It reads
// one VM after the other, so a range that passes from one to another may count twice
// or not at all; holdingWatch finds ranges with two holders.
func (f *fleet) heldRanges(skip *vm) int {
	sum := 0
	for _, v := range f.vms {
		if v != skip {
			sum += v.readRangeStatus().Ranges
		}
	}

	return sum
}

// TestHolderTakeover kills or freezes the VM that holds the most ranges, with the
// log up or down. It guards against ranges that stay without a holder, and against
// a returning VM that still acts on an expired lease, so that a range has two
// holders.
func TestHolderTakeover(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		logDown bool
		inject  func(v *vm)
		restore func(v *vm)
	}{
		{name: "kill", inject: func(v *vm) { v.kill() }, restore: func(v *vm) { v.start() }},
		{name: "kill-log-down", logDown: true, inject: func(v *vm) { v.kill() }, restore: func(v *vm) { v.start() }},
		{name: "freeze", inject: func(v *vm) { v.freeze() }, restore: func(v *vm) { v.resume() }},
		{name: "freeze-log-down", logDown: true, inject: func(v *vm) { v.freeze() }, restore: func(v *vm) { v.resume() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var out strings.Builder
			f := startFleet(t, fleetSpec{vms: 4})
			holdings := watchHoldings(f)
			waitFor(t, "every range has a holder", func() bool { return f.heldRanges(nil) == member.RangeCount })
			failed := f.largestHolder()
			f.setLogFaults(standin.LogFaults{Down: c.logDown})
			start := time.Now()
			c.inject(failed)
			waitFor(t, "the others hold every range", func() bool { return f.heldRanges(failed) == member.RangeCount })
			t.Logf("the others held every range after %v", time.Since(start).Round(10*time.Millisecond))
			c.restore(failed)
			time.Sleep(2 * member.LeaseDuration) // The watch sees what the failed VM does on its return.
			out.WriteString("the others hold every range, none has two holders\n")
			f.setLogFaults(standin.LogFaults{})
			waitFor(t, "the failed VM holds ranges again", func() bool { return failed.readRangeStatus().Ranges > 0 })
			waitFor(t, "every range has a holder", func() bool { return f.heldRanges(nil) == member.RangeCount })
			holdings.check(t)
			out.WriteString("the failed VM holds ranges again, none has two holders\n")
			goldie.New(t).Assert(t, "takeover-"+c.name, []byte(out.String()))
		})
	}
}

// largestHolder returns the VM that holds the most ranges.
func (f *fleet) largestHolder() *vm {
	var best *vm
	most := -1
	for _, v := range f.vms {
		if n := v.readRangeStatus().Ranges; n > most {
			best, most = v, n
		}
	}

	return best
}
