package member_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
)

// transcript notes each change of who is active.
type transcript struct {
	t    *testing.T
	w    *world
	out  strings.Builder
	last string
	// gap is the longest time without a holder of every range.
	gap, since time.Duration
}

func (s *transcript) look() {
	s.t.Helper()
	if d := s.w.doubled(); d != "" {
		s.t.Fatal(d)
	}
	line := fmt.Sprintf("epoch %d: %s", s.w.epoch(), s.w.holdings())
	if line != s.last {
		fmt.Fprintf(&s.out, "%7.3fs %s\n", s.w.now.Seconds(), line)
		s.last = line
	}
	if s.w.active() == member.RangeCount {
		s.since = s.w.now
	}
	s.gap = max(s.gap, s.w.now-s.since)
}

func (s *transcript) note(format string, args ...any) {
	fmt.Fprintf(&s.out, "%7.3fs -- %s\n", s.w.now.Seconds(), fmt.Sprintf(format, args...))
	s.since = s.w.now
	s.gap = 0
}

// busiest returns the VM that is active on the most ranges.
func (w *world) busiest() member.ID {
	var best member.ID
	most := -1
	for _, n := range w.ordered() {
		if c := n.p.Tenure().Count(n.clock(w.now)); c > most {
			best, most = n.vm.ID(), c
		}
	}

	return best
}

// takeoverBound is how long a fault of one VM may leave a range without holder.
const takeoverBound = 5 * time.Second

// TestScenarios compares who is active under scripted faults with the golden
// transcripts, and bounds the time without a holder.
func TestScenarios(t *testing.T) {
	for _, c := range []struct {
		name string
		// bound is the longest time without a holder of every range.
		bound time.Duration
		// length is how long the world runs after the fault.
		length time.Duration
		fault  func(w *world, id member.ID) string
		// then strikes after the length, and the world runs for it once more.
		then func(w *world, id member.ID) string
	}{
		{name: "quiet", bound: 0, length: 20 * time.Second, fault: func(*world, member.ID) string { return "nothing" }},
		{name: "kill-log-up", bound: takeoverBound, length: 10 * time.Second, fault: func(w *world, id member.ID) string {
			w.kill(id)

			return "kill " + string(id)
		}},
		{name: "kill-log-down", bound: takeoverBound, length: 10 * time.Second, fault: func(w *world, id member.ID) string {
			w.logDown = true
			w.kill(id)

			return "the log goes down; kill " + string(id)
		}},
		{name: "freeze-log-down", bound: takeoverBound, length: 10 * time.Second, fault: func(w *world, id member.ID) string {
			w.logDown = true
			w.freeze(id, true)

			return "the log goes down; freeze " + string(id)
		}},
		{name: "freeze-thaw", bound: takeoverBound, length: 15 * time.Second, fault: func(w *world, id member.ID) string {
			w.freeze(id, true)

			return "freeze " + string(id)
		}, then: func(w *world, id member.ID) string {
			w.freeze(id, false)

			return "thaw " + string(id)
		}},
		{name: "one-way-in", bound: takeoverBound, length: 10 * time.Second, fault: func(w *world, id member.ID) string {
			for _, o := range w.all {
				w.cut[[2]member.ID{o, id}] = true
			}

			return "nothing reaches " + string(id)
		}},
		{name: "one-way-out", bound: takeoverBound, length: 10 * time.Second, fault: func(w *world, id member.ID) string {
			for _, o := range w.all {
				w.cut[[2]member.ID{id, o}] = true
			}

			return "nothing comes from " + string(id)
		}},
		{name: "restart", bound: takeoverBound, length: 10 * time.Second, fault: func(w *world, id member.ID) string {
			w.kill(id)
			w.start(id)

			return "restart " + string(id)
		}},
		{name: "leave", bound: 0, length: 10 * time.Second, fault: func(w *world, id member.ID) string {
			w.nodes[id].p.Resign()
			w.round(w.nodes[id])

			return "leave " + string(id)
		}},
		{name: "join", bound: takeoverBound, length: 10 * time.Second, fault: func(w *world, _ member.ID) string {
			return "start " + string(w.add())
		}},
		{name: "log-down", bound: 0, length: 30 * time.Second, fault: func(w *world, _ member.ID) string {
			w.logDown = true

			return "the log goes down"
		}},
		{name: "all-replaced", bound: 20 * time.Second, length: 40 * time.Second, fault: func(w *world, _ member.ID) string {
			for _, id := range append([]member.ID(nil), w.all...) {
				w.remove(id)
			}
			for range 5 {
				w.add()
			}

			return "replace every VM"
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &transcript{
				t: t,
				w: newWorld(1, 5),
			}
			s.note("start 5 VMs")
			s.w.run(10*time.Second, s.look)
			if s.w.active() != member.RangeCount {
				t.Errorf("%d ranges have a holder before the fault", s.w.active())
			}
			struck := s.w.busiest()
			s.note("%s", c.fault(s.w, struck))
			s.w.run(c.length, s.look)
			gap := s.gap
			if c.then != nil {
				s.note("the longest time without a holder of every range was %v", gap)
				s.note("%s", c.then(s.w, struck))
				s.w.run(c.length, s.look)
				gap = max(gap, s.gap)
			}
			s.note("the longest time without a holder of every range was %v", gap)
			goldie.New(t).Assert(t, c.name, []byte(s.out.String()))
			if gap > c.bound {
				t.Errorf("some range had no holder for %v, more than %v", gap, c.bound)
			}
			if s.w.active() != member.RangeCount {
				t.Errorf("%d ranges have a holder at the end", s.w.active())
			}
		})
	}
}
