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

// outlierDetector is implemented by policies that eject targets.
type outlierDetector interface {
	ejected(now timer.Instant, target string) bool
}

// staticManifest provides a manifest that does not change.
type staticManifest struct{ manifest *manifester.Manifest }

func (s staticManifest) Manifest() *manifester.Manifest { return s.manifest }

// staticView provides a membership view that does not change.
type staticView struct{ view *member.View }

func (v staticView) View() *member.View { return v.view }

// noDraining reports no target as leaving or draining.
type noDraining struct{}

func (noDraining) Leaving(string) bool                       { return false }
func (noDraining) Draining(timer.Instant) []ejector.Draining { return nil }

// pooled is the policy of lagoonkeel on one VM: the VMs pool the evidence by which they
// eject targets.
type pooled struct {
	*picker.Balancer
	ejector *ejector.Controller
	service *manifester.Service
}

func (p *pooled) ejected(_ timer.Instant, target string) bool {
	for _, t := range p.service.Targets() {
		if t.Name() == target {
			s := p.ejector.Statuses().Status(ejector.KeyOf(p.service, t))

			return s != nil && s.Grade() == ejector.GradeEjected
		}
	}

	return false
}

// addPooled adds n VMs with the pooled policy. Its periods are those of the production
// code.
func (sm *simulation) addPooled(n int) {
	m := manifestOf(sm.service)
	controllers := make([]*ejector.Controller, n)
	clock := timer.NewManual(0)
	for i := range n {
		r := ejector.NewRecorder()
		v := viewOf(i, n)
		controllers[i] = ejector.New(vmName(i), staticManifest{m}, noDraining{}, r, clock, logger.Discard())
		b := picker.New(staticManifest{m}, controllers[i], staticView{v}, r, clock, sm.random.Float64)
		b.Rebuild()
		sm.vms = append(sm.vms, &pooled{
			Balancer: b,
			ejector:  controllers[i],
			service:  sm.service,
		})
		sm.every(sm.randomDelay(250), 250*time.Millisecond, func() { controllers[i].Step(sm.now) })
		sm.every(sm.randomDelay(100), 100*time.Millisecond, b.Rebuild)
		sm.every(sm.randomDelay(250), 250*time.Millisecond, func() { sm.broadcastReport(controllers, i) })
	}
}

// broadcastReport delivers a VM's report to its peers after 1 ms.
func (sm *simulation) broadcastReport(controllers []*ejector.Controller, from int) {
	r := controllers[from].Report()
	sm.after(time.Millisecond, func() {
		for i, c := range controllers {
			if i != from {
				c.Receive(sm.now, r)
			}
		}
	})
}

// randomDelay returns a random delay of 1 to millis milliseconds before the first run of
// a periodic function, so that the VMs do not run theirs at the same time.
func (sm *simulation) randomDelay(millis int) time.Duration {
	return time.Duration(1+sm.random.IntN(millis)) * time.Millisecond
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

// addBaseline adds VMs with a baseline policy. They exchange no reports.
func (sm *simulation) addBaseline(build func() policy) {
	for range fleetVMs {
		sm.vms = append(sm.vms, build())
	}
}

const (
	// consecutiveFailures is the number of failures in a row after which a VM ejects a
	// target for ejectionTime.
	consecutiveFailures = 5
	ejectionTime        = 30 * time.Second
)

// consecutive is the baseline that ejects a target after consecutive failures. Each VM
// counts only its own attempts, and ejects at most half of the targets.
type consecutive struct {
	service      *manifester.Service
	inner        policy
	failures     map[string]int
	ejectedUntil map[string]timer.Instant
}

func newConsecutive(s *manifester.Service) policy {
	return &consecutive{
		service:      s,
		inner:        picker.NewRoundRobin(),
		failures:     map[string]int{},
		ejectedUntil: map[string]timer.Instant{},
	}
}

func (c *consecutive) ejected(now timer.Instant, target string) bool {
	return now.Before(c.ejectedUntil[target])
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
		c.failures[t.Name()]++
		if c.failures[t.Name()] >= consecutiveFailures && c.countEjected(now) < len(c.service.Targets())/2 {
			c.ejectedUntil[t.Name()] = now.Add(ejectionTime)
			c.failures[t.Name()] = 0
		}
	default:
		c.failures[t.Name()] = 0
	}
}

func (c *consecutive) countEjected(now timer.Instant) int {
	n := 0
	for t := range c.ejectedUntil {
		if c.ejected(now, t) {
			n++
		}
	}

	return n
}

// probed is the baseline that ejects targets by their health checks alone.
type probed struct {
	inner          policy
	reportsHealthy func(target string, now time.Duration) bool
}

func (p *probed) ejected(now timer.Instant, target string) bool {
	return !p.reportsHealthy(target, time.Duration(now))
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
