package measurer

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/placer"
	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// grayServer simulates one target with its slots and its queue. Its episodes are shifted
// by phase.
type grayServer struct {
	dataCentre string
	phase      time.Duration
	seed       uint64
	busy       int
	waiting    []func()
	// lastWindow is the number of the last idleWindow in which a request arrived, and
	// usedWindows counts the windows with requests.
	lastWindow  int64
	usedWindows int
}

// recordArrival counts the window in which a request arrives.
func (s *grayServer) recordArrival(now timer.Instant) {
	if n := int64(time.Duration(now) / idleWindow); n != s.lastWindow {
		s.lastWindow = n
		s.usedWindows++
	}
}

// failing reports whether the target is in an episode of failures.
func (s *grayServer) failing(now timer.Instant) bool {
	n := uint64((time.Duration(now) + s.phase) / episodeLength) //nolint:gosec // Above 0.

	return rand.New(rand.NewPCG(s.seed, n)).Float64() < failingShare //nolint:gosec // A test.
}

// grayVM is one VM of the fleet.
type grayVM struct {
	sim        *graySimulation
	dataCentre string
	placer     *placer.Placer
	estimator  *estimator.Estimator
	pending    []outcomeReport
	open       map[estimator.Key]int
}

// outcomeReport reports the outcome of one attempt to the other VMs.
type outcomeReport struct {
	key     estimator.Key
	outcome estimator.Outcome
}

// SuspicionChanged ignores changes of targets to suspect or back.
func (*grayVM) SuspicionChanged(estimator.SuspicionChange) {}

// OpenRequests returns the number of open attempts that the other VMs last reported.
func (v *grayVM) OpenRequests(k estimator.Key) int {
	n := 0
	for _, o := range v.sim.vms {
		if o != v {
			n += o.open[k]
		}
	}

	return n
}

// ReportOutcome reports an outcome to the other VMs: a failure after reportDelay, a success with
// the next report.
func (v *grayVM) ReportOutcome(k estimator.Key, o estimator.Outcome) {
	r := outcomeReport{key: k, outcome: o}
	if o == estimator.OutcomeServed {
		v.pending = append(v.pending, r)

		return
	}
	v.sim.after(reportDelay, func() { v.sendOutcomes([]outcomeReport{r}) })
}

func (v *grayVM) sendOutcomes(list []outcomeReport) {
	for _, o := range v.sim.vms {
		for _, r := range list {
			if o != v {
				o.estimator.ObserveRemote(v.sim.now, r.key, r.outcome)
			}
		}
	}
}

// sendReport reports pending successes and open attempts, and schedules the next report.
func (v *grayVM) sendReport() {
	v.sendOutcomes(v.pending)
	v.pending = nil
	v.open = map[estimator.Key]int{}
	v.placer.OpenAttempts(func(k estimator.Key, n int) { v.open[k] = n })
	v.sim.after(reportPeriod, v.sendReport)
}

// graySimulation simulates a fleet with the targets of one service.
type graySimulation struct {
	now      timer.Instant
	queue    eventQueue
	sequence int
	random   *rand.Rand
	registry *registrar.Registrar
	servers  map[string]*grayServer
	vms      []*grayVM
	counts   map[string]*grayCount
	// degraded is whether the VMs consider the service degraded.
	degraded bool
}

// Now returns the simulated time. With Every it makes the simulation the VMs' clock.
func (sm *graySimulation) Now() timer.Instant { return sm.now }

// Every returns a subscription that never fires: the simulation calls the VMs.
func (sm *graySimulation) Every(d time.Duration) *timer.Subscription {
	return timer.NewManual(sm.now).Every(d)
}

func (sm *graySimulation) after(d time.Duration, run func()) {
	sm.sequence++
	heap.Push(&sm.queue, event{at: sm.now.Add(d), sequence: sm.sequence, run: run})
}

func newGraySimulation(seed uint64, w workload) *graySimulation {
	sm := &graySimulation{
		now:      timer.Instant(time.Hour),
		random:   rand.New(rand.NewPCG(seed, 3)),
		servers:  map[string]*grayServer{},
		counts:   map[string]*grayCount{},
		degraded: w.degraded,
	}
	var records []subscriber.Record
	for i := range w.targets {
		id := fmt.Sprintf("t%02d", i)
		sm.servers[id] = &grayServer{
			dataCentre: dataCentre(i),
			phase:      time.Duration(sm.random.Int64N(int64(episodeLength))),
			seed:       sm.random.Uint64(),
		}
		records = append(records, subscriber.NewRecord(id, []byte("-"), subscriber.Offset(i)))
	}
	sm.registry = registrar.New(sm.entry, logger.New(io.Discard, logger.FormatLogfmt, "test"))
	sm.registry.Replace(sm.now, records)
	for i := range grayVMs {
		sm.addVM(dataCentre(i))
	}

	return sm
}

func (sm *graySimulation) entry(id string, _ []byte) (*registrar.Entry, error) {
	return registrar.NewEntry(registrar.EntrySpec{
		Target: manifester.TargetSpec{
			Name:       id,
			Address:    "10.0.0.1:80",
			DataCentre: sm.servers[id].dataCentre,
			Slots:      targetSlots,
		},
		Service:       "service",
		StartedMillis: 1,
	}), nil
}

func (sm *graySimulation) addVM(dc string) {
	v := &grayVM{
		sim:        sm,
		dataCentre: dc,
	}
	v.estimator = estimator.New(v)
	v.placer = placer.New(placer.Spec{
		DataCentre:  dc,
		Targets:     sm.registry,
		Risks:       v.estimator,
		Observer:    v.estimator,
		Reporter:    v,
		RemoteLoad:  v,
		Clock:       sm,
		Degraded:    func(timer.Instant, string) bool { return sm.degraded },
		KeepOverdue: func() bool { return false },
	})
	sm.vms = append(sm.vms, v)
	sm.after(time.Duration(sm.random.Int64N(int64(reportPeriod))), v.sendReport)
}
