package picker

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// fakes provides the state that a balancer reads.
type fakes struct {
	manifest *manifester.Manifest
	leaving  map[string]bool
	view     *member.View
}

func (f *fakes) Manifest() *manifester.Manifest            { return f.manifest }
func (f *fakes) Leaving(address string) bool               { return f.leaving[address] }
func (f *fakes) Draining(timer.Instant) []ejector.Draining { return nil }
func (f *fakes) View() *member.View                        { return f.view }

// fixture is one VM's balancer with its ejector on a manual clock.
type fixture struct {
	*fakes
	clock    *timer.Manual
	service  *manifester.Service
	ejector  *ejector.Controller
	balancer *Balancer
}

// newFixture returns the first of the given number of VMs, all in data centre
// kandy, with targets in the given data centres.
func newFixture(t testing.TB, vms int, dataCentres ...string) *fixture {
	t.Helper()
	var targets []*manifester.Target
	for i, dc := range dataCentres {
		targets = append(targets, manifester.NewTarget(manifester.TargetSpec{
			Name:        fmt.Sprintf("t%d", i+1),
			Address:     fmt.Sprintf("10.0.0.%d:80", i+1),
			DataCentre:  dc,
			Slots:       4,
			Connections: 400,
		}))
	}
	s := manifester.NewService("fieldbook", manifester.ClassLookup, 4, targets)
	m, err := manifester.Empty().Apply(manifester.NewChange(manifester.ChangeSpec{
		ID:       "test",
		Base:     manifester.NoVersion,
		Services: []*manifester.Service{s},
	}), 0)
	if err != nil {
		t.Fatal(err)
	}
	f := &fakes{
		manifest: m,
		leaving:  map[string]bool{},
		view:     viewOf(vms),
	}
	recorder := ejector.NewRecorder()
	clock := timer.NewManual(timer.Instant(time.Second))
	e := ejector.New("vm-00", f, f, recorder, clock, logger.Discard())
	random := rand.New(rand.NewPCG(1, 1))
	var mu sync.Mutex
	fx := &fixture{
		fakes:   f,
		clock:   clock,
		service: s,
		ejector: e,
		balancer: New(f, e, f, recorder, clock, func() float64 {
			mu.Lock()
			defer mu.Unlock()

			return random.Float64()
		}),
	}
	fx.step()

	return fx
}

func viewOf(vms int) *member.View {
	vm := func(i int) member.VM {
		return member.NewVM(member.ID(fmt.Sprintf("vm-%02d", i)), 1, "", "kandy")
	}
	var peers []member.VM
	for i := 1; i < vms; i++ {
		peers = append(peers, vm(i))
	}

	return member.NewView(vm(0), peers)
}

func (x *fixture) step() {
	x.clock.Advance(250 * time.Millisecond)
	x.ejector.Step(x.clock.Now())
	x.balancer.Rebuild()
}

// pickMany picks n targets without ending the attempts, and returns them with a
// summary for the transcript.
func (x *fixture) pickMany(n int, tried ...string) (picked []*manifester.Target, text string) {
	counts := map[string]int{}
	refused := 0
	for range n {
		t, ok := x.balancer.Pick(x.clock.Now(), x.service, tried)
		if !ok {
			refused++

			continue
		}
		picked = append(picked, t)
		counts[t.Name()]++
	}
	var out strings.Builder
	for _, t := range x.service.Targets() {
		fmt.Fprintf(&out, " %s=%d", t.Name(), counts[t.Name()])
	}

	return picked, fmt.Sprintf("%s refused=%d", out.String(), refused)
}

func (x *fixture) end(list []*manifester.Target, took time.Duration, r ejector.Result) {
	start := x.clock.Now()
	x.clock.Advance(took)
	for _, t := range list {
		x.balancer.Done(x.clock.Now(), x.service, t, ejector.NewOutcome(start, took, r))
	}
}

// TestPickTranscript compares the picked targets with the golden file: those of
// the own data centre first, others only when these are full, and none that was
// tried before, is leaving or is at its limit.
func TestPickTranscript(t *testing.T) {
	s := newFixture(t, 1, "kandy", "kandy", "nuwara")
	var out strings.Builder
	all, text := s.pickMany(8)
	fmt.Fprintf(&out, "8 at once:%s\n", text)
	more, text := s.pickMany(12)
	fmt.Fprintf(&out, "12 more:%s, capacity %d\n", text, s.balancer.Capacity("fieldbook"))
	s.end(append(all, more...), 20*time.Millisecond, ejector.ResultOK)
	all, text = s.pickMany(4, "t1", "t2")
	fmt.Fprintf(&out, "4 after two targets were tried:%s\n", text)
	s.end(all, 20*time.Millisecond, ejector.ResultOK)
	s.leaving[s.service.Targets()[0].Address()] = true
	s.step()
	all, text = s.pickMany(6)
	fmt.Fprintf(&out, "6 while the first is leaving:%s\n", text)
	s.end(all, 20*time.Millisecond, ejector.ResultOK)
	s.leaving = map[string]bool{}
	s.step()
	for range 6 {
		all, _ = s.pickMany(4)
		s.end(all, time.Millisecond, ejector.ResultShed)
	}
	fmt.Fprintf(&out, "after sheds: capacity %d\n", s.balancer.Capacity("fieldbook"))
	for range 40 {
		all, _ = s.pickMany(s.balancer.Capacity("fieldbook"))
		s.end(all, 20*time.Millisecond, ejector.ResultOK)
	}
	fmt.Fprintf(&out, "after successful responses: capacity %d\n", s.balancer.Capacity("fieldbook"))
	goldie.New(t).Assert(t, "pick", []byte(out.String()))
}

// TestSubsetSpread compares with the golden file how evenly the VMs are spread
// over their primary targets, and how few assignments change when a VM leaves.
func TestSubsetSpread(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct{ vms, targets int }{{6, 4}, {18, 6}, {18, 12}, {18, 16}, {17, 13}} {
		vms, targets := names("vm", c.vms), names("t", c.targets)
		load := make([]int, c.targets)
		moved := 0
		for i, vm := range vms {
			primary := subset(vmID(vm), ids(vms), targets)
			without := subset(vmID(vm), ids(vms[:c.vms-1]), targets)
			for j := range primary {
				if primary[j] {
					load[j]++
				}
				if i < c.vms-1 && primary[j] && !without[j] {
					moved++
				}
			}
		}
		fmt.Fprintf(&out, "%d VMs, %d targets: VMs per target %v, moved when one leaves %d of %d\n", c.vms, c.targets, load, moved, (c.vms-1)*min(subsetSize, c.targets))
	}
	goldie.New(t).Assert(t, "subset", []byte(out.String()))
}

func names(prefix string, n int) []string {
	list := make([]string, 0, n)
	for i := range n {
		list = append(list, fmt.Sprintf("%s-%02d", prefix, i+1))
	}

	return list
}

func ids(list []string) []vmID {
	out := make([]vmID, 0, len(list))
	for _, n := range list {
		out = append(out, vmID(n))
	}

	return out
}

// TestConcurrentPicks checks that no attempt in flight is lost or counted twice
// while tables are swapped.
func TestConcurrentPicks(t *testing.T) {
	s := newFixture(t, 3, "kandy", "kandy", "kandy", "nuwara")
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 2000 {
				now := s.clock.Now()
				target, ok := s.balancer.Pick(now, s.service, nil)
				if ok {
					s.balancer.Done(now, s.service, target, ejector.NewOutcome(now, time.Millisecond, ejector.ResultOK))
				}
			}
		})
	}
	for range 50 {
		s.balancer.Rebuild()
	}
	all.Wait()
	if n := s.balancer.serviceTable(s.service).inFlight(); n != 0 {
		t.Errorf("%d attempts are in flight, want 0", n)
	}
}

// BenchmarkPick measures one Pick and its Done, called from many goroutines.
func BenchmarkPick(b *testing.B) {
	s := newFixture(b, 18, "kandy", "kandy", "kandy", "kandy", "nuwara", "nuwara", "nuwara", "nuwara", "badulla", "badulla", "badulla", "badulla")
	s.balancer.random = rand.Float64
	now := s.clock.Now()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if target, ok := s.balancer.Pick(now, s.service, nil); ok {
				s.balancer.Done(now, s.service, target, ejector.NewOutcome(now, time.Millisecond, ejector.ResultOK))
			}
		}
	})
}
