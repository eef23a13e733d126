package ejector

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

func at(seconds int) timer.Instant {
	return timer.Instant(time.Duration(seconds) * time.Second)
}

// fakes provides a manifest and the leaving targets, which tests change.
type fakes struct {
	manifest *manifester.Manifest
	leaving  map[string]bool
	// random, if set, inverts one in 16 results of Leaving, as if the leaving targets
	// changed between two calls.
	random *rand.Rand
}

func (f *fakes) Manifest() *manifester.Manifest { return f.manifest }

func (f *fakes) Leaving(address string) bool {
	if f.random != nil && f.random.IntN(16) == 0 {
		return !f.leaving[address]
	}

	return f.leaving[address]
}

func (f *fakes) Draining(timer.Instant) []Draining { return nil }

func serviceOf(targets, floor int) *manifester.Service {
	list := make([]*manifester.Target, 0, targets)
	for i := range targets {
		list = append(list, manifester.NewTarget(manifester.TargetSpec{
			Name:        fmt.Sprintf("t%02d", i+1),
			Address:     fmt.Sprintf("10.0.0.%d:80", i+1),
			DataCentre:  "kandy",
			Slots:       4,
			Connections: 400,
		}))
	}

	return manifester.NewService("bookings", manifester.ClassBooking, floor, list)
}

func newFakes(t *testing.T, s *manifester.Service) *fakes {
	t.Helper()
	m, err := manifester.Empty().Apply(manifester.NewChange(manifester.ChangeSpec{
		ID:       "test",
		Base:     manifester.NoVersion,
		Services: []*manifester.Service{s},
	}), 0)
	if err != nil {
		t.Fatal(err)
	}

	return &fakes{
		manifest: m,
		leaving:  map[string]bool{},
	}
}

// floorViolation checks the statuses of a service against its floor and describes a
// violation. It counts the healthy slots itself and compares the controller's count.
func floorViolation(v *TargetStatuses, s *manifester.Service) string {
	healthy, total := 0, 0
	for _, t := range s.Targets() {
		st := v.Status(KeyOf(s, t))
		if st.Leaving() || st.WarmingUp() {
			continue
		}
		total += t.Slots()
		switch st.Grade() {
		case GradeFull:
			healthy += t.Slots()
		case GradeReduced:
			healthy += t.Slots() / 2
		case GradeEjected:
		}
	}
	if healthy < min(s.Floor(), total) || v.HealthySlots(s.Name()) != healthy {
		return fmt.Sprintf("%d of %d slots are healthy, floor %d, the controller counts %d", healthy, total, s.Floor(), v.HealthySlots(s.Name()))
	}

	return ""
}

// randomReport returns a peer's report with random sums of the targets.
func randomReport(r *rand.Rand, vm int, s *manifester.Service) *Report {
	var sums []TargetSum
	for _, t := range s.Targets() {
		n := r.Uint64N(60)
		sums = append(sums, NewTargetSum(KeyOf(s, t).ID(), NewSum(n/4, r.Uint64N(n/4+1), r.Uint64N(n+1)), NewSum(n, r.Uint64N(n+1), r.Uint64N(n+1))))
	}

	return NewReport(fmt.Sprintf("vm-%d", vm), sums, []ServiceMedian{
		NewServiceMedian(ServiceIDOf(s.Name()), time.Duration(r.Int64N(int64(time.Second)))),
	}, nil)
}

// TestFloorHoldsUnderRandomEvidence steps a controller with random evidence of its
// own and of peers, while targets leave and return.
func TestFloorHoldsUnderRandomEvidence(t *testing.T) {
	properties := gopter.NewProperties(parameters())
	properties.Property("the floor holds in every step", prop.ForAll(func(seed uint64, floor int) string {
		return stepRandomly(t, seed, serviceOf(12, floor))
	}, gen.UInt64(), gen.IntRange(0, 48)))
	properties.TestingRun(t)
}

func stepRandomly(t *testing.T, seed uint64, s *manifester.Service) string {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 1))
	f := newFakes(t, s)
	f.random = r
	recorder := NewRecorder()
	c := New("vm-0", f, f, recorder, timer.NewManual(0), logger.Discard())
	now := at(1)
	for range 60 {
		now = now.Add(evaluationPeriod)
		target := s.Targets()[r.IntN(12)]
		if r.IntN(8) == 0 {
			f.leaving[target.Address()] = !f.leaving[target.Address()]
		}
		samples := recorder.Samples(KeyOf(s, target))
		for range r.IntN(10) {
			samples.Begin(now)
			samples.End(NewOutcome(now, time.Duration(r.Int64N(int64(time.Second))), Result(r.IntN(int(ResultNone)+1))))
		}
		c.Receive(now, randomReport(r, 1+r.IntN(5), s))
		c.Step(now)
		if violation := floorViolation(c.Statuses(), s); violation != "" {
			return fmt.Sprintf("at %v: %s", now.Sub(0), violation)
		}
	}

	return ""
}

// TestControllerTranscript pools two VMs' evidence about a slow target, connect
// failures of one VM and a leaving target, and compares the statuses with the golden
// file.
func TestControllerTranscript(t *testing.T) {
	s := serviceOf(6, 12)
	f := newFakes(t, s)
	recorders := []*Recorder{NewRecorder(), NewRecorder()}
	clock := timer.NewManual(0)
	vms := []*Controller{
		New("vm-0", f, f, recorders[0], clock, logger.Discard()),
		New("vm-1", f, f, recorders[1], clock, logger.Discard()),
	}
	var out strings.Builder
	now := at(1)
	run := func(name string, steps int, took func(vm, target int) (time.Duration, Result)) {
		for range steps {
			now = now.Add(evaluationPeriod)
			for vm := range vms {
				for i, target := range s.Targets() {
					addAttempts(recorders[vm].Samples(KeyOf(s, target)), now, 3, func() (time.Duration, Result) { return took(vm, i) })
				}
				vms[vm].Receive(now, vms[1-vm].Report())
				vms[vm].Step(now)
			}
		}
		fmt.Fprintf(&out, "%v %s\n", now.Sub(0), name)
		for vm := range vms {
			fmt.Fprintf(&out, "  vm-%d:%s\n", vm, statusLine(vms[vm].Statuses(), s))
		}
	}
	healthy := func(int, int) (time.Duration, Result) { return 25 * time.Millisecond, ResultOK }
	run("all targets healthy", 20, healthy)
	slow := func(_, target int) (time.Duration, Result) {
		if target == 0 {
			return 250 * time.Millisecond, ResultOK
		}

		return 25 * time.Millisecond, ResultOK
	}
	run("t01 slow", 8, slow)
	noPath := func(vm, target int) (time.Duration, Result) {
		if vm == 1 && target == 1 {
			return time.Millisecond, ResultConnect
		}

		return slow(vm, target)
	}
	run("vm-1 cannot connect to t02", 2, noPath)
	f.leaving[s.Targets()[5].Address()] = true
	run("t06 leaving", 1, noPath)
	run("all targets healthy for 15s", 60, healthy)
	run("all targets healthy for 30s", 60, healthy)
	allSlow := func(int, int) (time.Duration, Result) { return 250 * time.Millisecond, ResultOK }
	run("all targets equally slow", 20, allSlow)
	goldie.New(t).Assert(t, "controller", []byte(out.String()))
}

func addAttempts(s *Samples, now timer.Instant, n int, took func() (time.Duration, Result)) {
	for range n {
		d, r := took()
		s.Begin(now)
		s.End(NewOutcome(now, d, r))
	}
}

func statusLine(v *TargetStatuses, s *manifester.Service) string {
	var out strings.Builder
	for _, t := range s.Targets() {
		st := v.Status(KeyOf(s, t))
		fmt.Fprintf(&out, " %s=%v", t.Name(), st.Grade())
		if st.PathOnly() {
			out.WriteString("(path)")
		}
		if st.WarmingUp() {
			fmt.Fprintf(&out, "(warming up %.2f)", st.Weight())
		}
		if st.Leaving() {
			out.WriteString("(leaving)")
		}
	}

	return out.String()
}
