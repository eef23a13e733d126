// Package measurer measures policies for choosing and ejecting targets. It drives
// the production code of these decisions in a discrete-event simulation of VMs and
// targets. The package consists of test files only.
package measurer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	dataCentres          = 3
	targetSlots          = 4
	targetQueueLength    = 16
	routeTimeout         = 2 * time.Second
	connectTimeout       = time.Second
	minServiceTime       = 15 * time.Millisecond
	meanExtraServiceTime = 10 * time.Millisecond
	meanServiceTime      = minServiceTime + meanExtraServiceTime
	localDelay           = 100 * time.Microsecond
	remoteDelay          = 500 * time.Microsecond
	// harmedThreshold is the latency from which a request counts as harmed, also if it
	// succeeds.
	harmedThreshold = 4 * meanServiceTime
)

// event is a function that runs at an instant; sequence orders the events of one
// instant.
type event struct {
	at       timer.Instant
	sequence int
	run      func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].sequence < e[j].sequence)
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventQueue) Push(x any) {
	if v, ok := x.(event); ok {
		*e = append(*e, v)
	}
}

func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]

	return last
}

// policy is the policy of one VM: it picks targets and is told the outcome of each
// attempt.
type policy interface {
	Pick(now timer.Instant, s *manifester.Service, tried []string) (*manifester.Target, bool)
	Done(now timer.Instant, s *manifester.Service, t *manifester.Target, o ejector.Outcome)
}

// behaviour is how a target treats a request; slowdown multiplies its service time.
type behaviour struct {
	slowdown     float64
	failureShare float64
	hang         bool
	unreachable  bool
}

// server simulates one target with its slots and its queue.
type server struct {
	busy    int
	waiting []func()
	// busyTime is the sum of the service times of the requests that ended since
	// countFrom.
	busyTime time.Duration
	// runs counts the requests that were started.
	runs int
}

// simulation is an event loop with its targets and VMs.
type simulation struct {
	now      timer.Instant
	queue    eventQueue
	sequence int
	random   *rand.Rand
	service  *manifester.Service
	servers  map[string]*server
	// behaviourOf returns how a target treats a request of a VM at present.
	behaviourOf func(vm int, target string, now time.Duration) behaviour
	vms         []policy
	counts      requestCounts
	// usedBeforeFault holds the VMs that sent requests to the faulty target before its
	// fault.
	usedBeforeFault map[int]bool
	// sentToFaulty counts the requests that met the fault of the faulty target after
	// the grace period.
	sentToFaulty int
	// countFrom is the start of counting: earlier requests are left out of counts.
	countFrom timer.Instant
}

// requestCounts counts requests by their results.
type requestCounts struct {
	requests, harmed, failed, shed, refused int
	latencies                               []time.Duration
}

func newSimulation(seed uint64, targets, floor int) *simulation {
	sm := &simulation{
		random:          rand.New(rand.NewPCG(seed, 7)),
		servers:         map[string]*server{},
		usedBeforeFault: map[int]bool{},
		behaviourOf: func(int, string, time.Duration) behaviour {
			return behaviour{slowdown: 1}
		},
	}
	list := make([]*manifester.Target, 0, targets)
	for i := range targets {
		name := fmt.Sprintf("t%02d", i+1)
		sm.servers[name] = &server{}
		list = append(list, manifester.NewTarget(manifester.TargetSpec{
			Name:        name,
			Address:     fmt.Sprintf("10.0.0.%d:80", i+1),
			DataCentre:  dataCentre(i),
			Slots:       targetSlots,
			Connections: 400,
		}))
	}
	sm.service = manifester.NewService("fieldbook", manifester.ClassLookup, floor, list)

	return sm
}

func dataCentre(i int) string { return fmt.Sprintf("dc%d", i%dataCentres) }

func (sm *simulation) schedule(t timer.Instant, run func()) {
	sm.sequence++
	heap.Push(&sm.queue, event{at: t, sequence: sm.sequence, run: run})
}

func (sm *simulation) after(d time.Duration, run func()) { sm.schedule(sm.now.Add(d), run) }

// every runs the function periodically until the simulation ends.
func (sm *simulation) every(first, period time.Duration, run func()) {
	sm.after(first, func() {
		run()
		sm.every(period, period, run)
	})
}

func (sm *simulation) runUntil(end time.Duration) {
	for sm.queue.Len() > 0 && !sm.queue[0].at.After(timer.Instant(end)) {
		e, ok := heap.Pop(&sm.queue).(event)
		if !ok {
			return
		}
		sm.now = e.at
		e.run()
	}
	sm.now = timer.Instant(end)
}

// generateLoad makes requests arrive as a Poisson process with the rate, in requests a
// second, each at a random VM.
func (sm *simulation) generateLoad(rate func(now time.Duration) float64, request func(vm int)) {
	wait := time.Duration(sm.random.ExpFloat64() / rate(time.Duration(sm.now)) * float64(time.Second))
	sm.after(wait, func() {
		request(sm.random.IntN(len(sm.vms)))
		sm.generateLoad(rate, request)
	})
}

// attempt sends one request from a VM and calls done when the response has arrived.
// It returns false if the policy picked no target.
func (sm *simulation) attempt(vm int, arrived timer.Instant, done func()) bool {
	started := sm.now
	t, ok := sm.vms[vm].Pick(started, sm.service, nil)
	if !ok {
		return false
	}
	finish := func(r ejector.Result) {
		sm.vms[vm].Done(sm.now, sm.service, t, ejector.NewOutcome(started, sm.now.Sub(started), r))
		sm.countResult(arrived, r)
		done()
	}
	b := sm.behaviourOf(vm, t.Name(), time.Duration(sm.now))
	sm.countFaulty(vm, t.Name(), b)
	switch {
	case b.unreachable:
		sm.after(connectTimeout, func() { finish(ejector.ResultConnect) })
	case b.hang:
		sm.after(routeTimeout, func() { finish(ejector.ResultTimeout) })
	default:
		sm.send(vm, t, b, finish)
	}

	return true
}

// countFaulty updates usedBeforeFault and sentToFaulty with a request.
func (sm *simulation) countFaulty(vm int, target string, b behaviour) {
	if target != faultyTarget {
		return
	}
	if time.Duration(sm.now) < faultStart {
		sm.usedBeforeFault[vm] = true
	}
	if b != (behaviour{slowdown: 1}) && time.Duration(sm.now) >= faultStart+gracePeriod {
		sm.sentToFaulty++
	}
}

func (sm *simulation) send(vm int, t *manifester.Target, b behaviour, finish func(ejector.Result)) {
	delay := localDelay
	if t.DataCentre() != dataCentre(vm) {
		delay = remoteDelay
	}
	s := sm.servers[t.Name()]
	sm.after(delay, func() {
		if len(s.waiting) >= targetQueueLength {
			sm.after(delay, func() { finish(ejector.ResultShed) })

			return
		}
		s.waiting = append(s.waiting, func() { sm.execute(s, delay, b, finish) })
		sm.startQueued(s)
	})
}

// startQueued starts queued requests on free slots.
func (sm *simulation) startQueued(s *server) {
	for s.busy < targetSlots && len(s.waiting) > 0 {
		run := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.busy++
		run()
	}
}

func (sm *simulation) execute(s *server, delay time.Duration, b behaviour, finish func(ejector.Result)) {
	took := time.Duration((float64(minServiceTime) + sm.random.ExpFloat64()*float64(meanExtraServiceTime)) * b.slowdown)
	r := ejector.ResultOK
	if sm.random.Float64() < b.failureShare {
		r = ejector.ResultFailed
	}
	s.runs++
	sm.after(took, func() {
		s.busy--
		if !sm.now.Before(sm.countFrom) {
			s.busyTime += took
		}
		sm.startQueued(s)
		sm.after(delay, func() { finish(r) })
	})
}

func (sm *simulation) countResult(arrived timer.Instant, r ejector.Result) {
	if arrived.Before(sm.countFrom) {
		return
	}
	took := sm.now.Sub(arrived)
	sm.counts.requests++
	sm.counts.latencies = append(sm.counts.latencies, took)
	switch {
	case r == ejector.ResultShed:
		sm.counts.shed++
	case r != ejector.ResultOK:
		sm.counts.failed++
		sm.counts.harmed++
	case took >= harmedThreshold:
		sm.counts.harmed++
	}
}
