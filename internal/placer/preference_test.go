package placer

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// assignedTargets are the targets that are assigned to a VM.
type assignedTargets map[estimator.Key]bool

func (a assignedTargets) Assigned(k estimator.Key) bool { return a[k] }

// TestPreferAssigned guards against a VM that overloads its assigned targets, insists on
// failing ones or never tries the others again: it records the fraction of the requests
// that each target gets.
func TestPreferAssigned(t *testing.T) {
	p := profile{latency: 100 * time.Millisecond, serviceLatency: 100 * time.Millisecond, latencyGoal: 400 * time.Millisecond}
	members := NewTargets(timer.Instant(time.Hour), "quotes", 4, "a", "b", "c", "d").Members("quotes")
	assigned := assignedTargets{members[0].Key(): true, members[1].Key(): true}
	var out bytes.Buffer
	for _, c := range []struct {
		title  string
		change func(list []candidate)
	}{
		{"a and b are assigned", func([]candidate) {}},
		{"a is nearly full", func(list []candidate) { list[0].open = 2 }},
		{"a is suspect", func(list []candidate) { list[0].risk = 0.9 }},
		{"a and b are nearly full", func(list []candidate) { list[0].open, list[1].open = 2, 3 }},
		{"a, b and c are full", func(list []candidate) { list[0].open, list[1].open, list[2].open = 4, 5, 4 }},
		{"a had no requests lately", func(list []candidate) { list[0].risk, list[0].open, list[0].age = 0.2, 0, maxAge }},
		{"a and b had none lately", func(list []candidate) { list[0].risk, list[1].risk = 0.2, 0.2 }},
		{"a and b are suspect", func(list []candidate) { list[0].risk, list[1].risk = 0.6, 0.6 }},
		{"all are full", func(list []candidate) {
			for i := range list {
				list[i].open = 8
			}
		}},
		{"all but d are full, and d is suspect", func(list []candidate) {
			for i := range list {
				list[i].open = 4
			}
			list[3].risk, list[3].open = 0.9, 1
		}},
		{"d is idle", func(list []candidate) { list[3].open, list[3].age = 0, maxAge }},
		{"c and d are in another data centre, a and b are full", func(list []candidate) {
			list[0].open, list[1].open = 4, 4
			list[2].local, list[3].local = false, false
		}},
	} {
		list := make([]candidate, len(members))
		for i, m := range members {
			list[i] = candidate{member: m, risk: 0.01, slots: 4, open: 1, local: true}
		}
		c.change(list)
		preferAssigned(list, p, assigned)
		weights, total := weigh(list, p)
		fmt.Fprintf(&out, "%s:", c.title)
		for i, w := range weights {
			fmt.Fprintf(&out, " %s %.3f", members[i].Target().Name(), w/total)
		}
		fmt.Fprintln(&out)
	}
	goldie.New(t).Assert(t, "assigned", out.Bytes())
}
