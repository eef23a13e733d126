package member_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
)

// transcript records each change of the epoch or of the active holders.
type transcript struct {
	t    *testing.T
	f    *fleet
	out  strings.Builder
	last string
	// gap is the longest time in which some range had no active holder, since
	// the last note; since is the last time at which every range had one.
	gap, since time.Duration
}

func (s *transcript) observe() {
	s.t.Helper()
	if d := s.f.doubleHolder(); d != "" {
		s.t.Fatal(d)
	}
	line := fmt.Sprintf("epoch %d: %s", s.f.epoch(), s.f.holdings())
	if line != s.last {
		fmt.Fprintf(&s.out, "%7.3fs %s\n", s.f.now.Seconds(), line)
		s.last = line
	}
	if s.f.active() == member.RangeCount {
		s.since = s.f.now
	}
	s.gap = max(s.gap, s.f.now-s.since)
}

func (s *transcript) note(format string, args ...any) {
	fmt.Fprintf(&s.out, "%7.3fs -- %s\n", s.f.now.Seconds(), fmt.Sprintf(format, args...))
	s.since = s.f.now
	s.gap = 0
}

// busiest returns the VM that is active for the most ranges.
func (f *fleet) busiest() member.ID {
	var best member.ID
	most := -1
	for _, n := range f.ordered() {
		if c := n.p.Lease().Count(n.clock(f.now)); c > most {
			best, most = n.vm.ID(), c
		}
	}

	return best
}

// takeoverBound is how long a fault of one VM may leave a range without an
// active holder.
const takeoverBound = 5 * time.Second

// TestScenarios compares the active holders under scripted faults with the golden
// transcripts, and bounds the time in which some range has no active holder.
func TestScenarios(t *testing.T) {
	for _, c := range []struct {
		name string
		// bound is the longest time in which some range may have no active
		// holder.
		bound time.Duration
		// length is how long the simulation runs after the fault.
		length time.Duration
		fault  func(f *fleet, id member.ID) string
		// then is a second fault after length, followed by another run of length;
		// it may be nil.
		then func(f *fleet, id member.ID) string
	}{
		{name: "no-fault", bound: 0, length: 20 * time.Second, fault: func(*fleet, member.ID) string { return "no fault" }},
		{name: "kill-log-up", bound: takeoverBound, length: 10 * time.Second, fault: func(f *fleet, id member.ID) string {
			f.kill(id)

			return "kill " + string(id)
		}},
		{name: "kill-log-down", bound: takeoverBound, length: 10 * time.Second, fault: func(f *fleet, id member.ID) string {
			f.logDown = true
			f.kill(id)

			return "the log goes down; kill " + string(id)
		}},
		{name: "pause-log-down", bound: takeoverBound, length: 10 * time.Second, fault: func(f *fleet, id member.ID) string {
			f.logDown = true
			f.setPaused(id, true)

			return "the log goes down; pause " + string(id)
		}},
		{name: "pause-resume", bound: takeoverBound, length: 15 * time.Second, fault: func(f *fleet, id member.ID) string {
			f.setPaused(id, true)

			return "pause " + string(id)
		}, then: func(f *fleet, id member.ID) string {
			f.setPaused(id, false)

			return "resume " + string(id)
		}},
		{name: "inbound-links-cut", bound: takeoverBound, length: 10 * time.Second, fault: func(f *fleet, id member.ID) string {
			for _, o := range f.all {
				f.cut[[2]member.ID{o, id}] = true
			}

			return "cut all links to " + string(id)
		}},
		{name: "outbound-links-cut", bound: takeoverBound, length: 10 * time.Second, fault: func(f *fleet, id member.ID) string {
			for _, o := range f.all {
				f.cut[[2]member.ID{id, o}] = true
			}

			return "cut all links from " + string(id)
		}},
		{name: "restart", bound: takeoverBound, length: 10 * time.Second, fault: func(f *fleet, id member.ID) string {
			f.kill(id)
			f.start(id)

			return "restart " + string(id)
		}},
		{name: "leave", bound: 0, length: 10 * time.Second, fault: func(f *fleet, id member.ID) string {
			f.nodes[id].p.Resign()
			f.round(f.nodes[id])

			return "leave " + string(id)
		}},
		{name: "join", bound: takeoverBound, length: 10 * time.Second, fault: func(f *fleet, _ member.ID) string {
			return "start " + string(f.add())
		}},
		{name: "log-down", bound: 0, length: 30 * time.Second, fault: func(f *fleet, _ member.ID) string {
			f.logDown = true

			return "the log goes down"
		}},
		{name: "all-replaced", bound: 20 * time.Second, length: 40 * time.Second, fault: func(f *fleet, _ member.ID) string {
			for _, id := range append([]member.ID(nil), f.all...) {
				f.remove(id)
			}
			for range 5 {
				f.add()
			}

			return "replace every VM"
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &transcript{
				t: t,
				f: newFleet(1, 5),
			}
			s.note("start 5 VMs")
			s.f.run(10*time.Second, s.observe)
			if s.f.active() != member.RangeCount {
				t.Errorf("%d ranges have an active holder before the fault", s.f.active())
			}
			target := s.f.busiest()
			s.note("%s", c.fault(s.f, target))
			s.f.run(c.length, s.observe)
			gap := s.gap
			if c.then != nil {
				s.note("the longest time in which some range had no active holder was %v", gap)
				s.note("%s", c.then(s.f, target))
				s.f.run(c.length, s.observe)
				gap = max(gap, s.gap)
			}
			s.note("the longest time in which some range had no active holder was %v", gap)
			goldie.New(t).Assert(t, c.name, []byte(s.out.String()))
			if gap > c.bound {
				t.Errorf("some range had no active holder for %v, more than %v", gap, c.bound)
			}
			if s.f.active() != member.RangeCount {
				t.Errorf("%d ranges have an active holder at the end", s.f.active())
			}
		})
	}
}
