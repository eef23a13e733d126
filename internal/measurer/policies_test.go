package measurer

import (
	"fmt"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/picker"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// grading tells which targets a policy keeps off.
type grading interface {
	ejected(now timer.Instant, target string) bool
}

// fixed is a manifest source of one service.
type fixed struct{ manifest *manifester.Manifest }

func (f fixed) Manifest() *manifester.Manifest { return f.manifest }

// view is one VM's membership.
type view struct{ view *member.View }

func (v view) View() *member.View { return v.view }

// noLeaving is a drainer without leaving targets.
type noLeaving struct{}

func (noLeaving) Leaving(string) bool                       { return false }
func (noLeaving) Draining(timer.Instant) []ejector.Draining { return nil }

// pooled is the project's own policy on one VM.
type pooled struct {
	*picker.Balancer
	ejector *ejector.Controller
	service *manifester.Service
}

func (p *pooled) ejected(_ timer.Instant, target string) bool {
	for _, t := range p.service.Targets() {
		if t.Name() == target {
			s := p.ejector.Verdicts().Standing(ejector.KeyOf(p.service, t))

			return s != nil && s.Grade() == ejector.GradeEjected
		}
	}

	return false
}

// addPooled gives each of n VMs the project's policy. Reports reach the peers
// after a delay.
func (w *world) addPooled(n int) {
	m := manifestOf(w.service)
	controllers := make([]*ejector.Controller, n)
	clock := timer.NewManual(0)
	for i := range n {
		r := ejector.NewRecorder()
		v := viewOf(i, n)
		controllers[i] = ejector.New(vmName(i), fixed{m}, noLeaving{}, r, clock, logger.Discard())
		b := picker.New(fixed{m}, controllers[i], view{v}, r, clock, w.random.Float64)
		b.Rebuild()
		w.vms = append(w.vms, &pooled{
			Balancer: b,
			ejector:  controllers[i],
			service:  w.service,
		})
		w.every(w.phase(250), 250*time.Millisecond, func() { controllers[i].Step(w.now) })
		w.every(w.phase(100), 100*time.Millisecond, b.Rebuild)
		w.every(w.phase(250), 250*time.Millisecond, func() { w.report(controllers, i) })
	}
}

func (w *world) report(controllers []*ejector.Controller, from int) {
	r := controllers[from].Report()
	w.after(time.Millisecond, func() {
		for i, c := range controllers {
			if i != from {
				c.Receive(w.now, r)
			}
		}
	})
}

// phase draws a first delay, so that VMs do not step together.
func (w *world) phase(millis int) time.Duration {
	return time.Duration(1+w.random.IntN(millis)) * time.Millisecond
}

func manifestOf(s *manifester.Service) *manifester.Manifest {
	m, err := manifester.Empty().Apply(manifester.NewChange(manifester.ChangeSpec{
		ID:       "measure",
		Base:     manifester.NoVersion,
		Services: []*manifester.Service{s},
	}), 0)
	if err != nil {
		panic(err)
	}

	return m
}

func vmName(i int) string { return fmt.Sprintf("vm-%02d", i+1) }

func viewOf(self, n int) *member.View {
	var peers []member.VM
	for i := range n {
		if i != self {
			peers = append(peers, vmOf(i))
		}
	}

	return member.NewView(vmOf(self), peers)
}

func vmOf(i int) member.VM {
	return member.NewVM(member.ID(vmName(i)), 1, "", dataCentre(i))
}

// plain adds a baseline picker that never ejects.
func (w *world) addPlain(build func() policy) {
	for range fleetVMs {
		w.vms = append(w.vms, build())
	}
}

const (
	// consecutiveFaults in a row eject a target on one VM, for consecutiveHold.
	consecutiveFaults = 5
	consecutiveHold   = 30 * time.Second
)

// consecutive is the baseline that ejects after faults in a row, each VM by
// itself.
type consecutive struct {
	service *manifester.Service
	inner   policy
	faults  map[string]int
	until   map[string]timer.Instant
}

func newConsecutive(s *manifester.Service) policy {
	return &consecutive{
		service: s,
		inner:   picker.NewRoundRobin(),
		faults:  map[string]int{},
		until:   map[string]timer.Instant{},
	}
}

func (c *consecutive) ejected(now timer.Instant, target string) bool {
	return now.Before(c.until[target])
}

func (c *consecutive) Pick(now timer.Instant, s *manifester.Service, tried []string) (*manifester.Target, bool) {
	for _, t := range s.Targets() {
		if c.ejected(now, t.Name()) {
			tried = append(tried, t.Name())
		}
	}

	return c.inner.Pick(now, s, tried)
}

func (c *consecutive) Done(now timer.Instant, _ *manifester.Service, t *manifester.Target, o ejector.Outcome) {
	switch o.Result() {
	case ejector.ResultFailed, ejector.ResultTimeout, ejector.ResultConnect:
		c.faults[t.Name()]++
		if c.faults[t.Name()] >= consecutiveFaults && c.count(now) < len(c.service.Targets())/2 {
			c.until[t.Name()] = now.Add(consecutiveHold)
			c.faults[t.Name()] = 0
		}
	default:
		c.faults[t.Name()] = 0
	}
}

func (c *consecutive) count(now timer.Instant) int {
	n := 0
	for t := range c.until {
		if c.ejected(now, t) {
			n++
		}
	}

	return n
}

// probed is the baseline that believes the targets' health endpoints.
type probed struct {
	inner  policy
	claims func(target string, now time.Duration) bool
}

func (p *probed) ejected(now timer.Instant, target string) bool {
	return !p.claims(target, time.Duration(now))
}

func (p *probed) Pick(now timer.Instant, s *manifester.Service, tried []string) (*manifester.Target, bool) {
	for _, t := range s.Targets() {
		if p.ejected(now, t.Name()) {
			tried = append(tried, t.Name())
		}
	}

	return p.inner.Pick(now, s, tried)
}

func (p *probed) Done(timer.Instant, *manifester.Service, *manifester.Target, ejector.Outcome) {}
