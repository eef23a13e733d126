// Package measurer measures policies by driving the real decision code on a
// hand-moved clock. Everything it has is in test files.
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
	dataCentres   = 3
	targetSlots   = 4
	targetQueue   = 16
	routeTimeout  = 2 * time.Second
	connectWait   = time.Second
	leastWork     = 15 * time.Millisecond
	meanExtraWork = 10 * time.Millisecond
	meanWork      = leastWork + meanExtraWork
	nearDelay     = 100 * time.Microsecond
	farDelay      = 500 * time.Microsecond
	// harmedAfter is the time from which a request counts as harmed.
	harmedAfter = 4 * meanWork
)

// event is one thing that happens at an instant.
type event struct {
	at    timer.Instant
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].order < e[j].order)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) {
	if v, ok := x.(event); ok {
		*e = append(*e, v)
	}
}

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]

	return last
}

// policy is what is measured.
type policy interface {
	Pick(now timer.Instant, s *manifester.Service, tried []string) (*manifester.Target, bool)
	Done(now timer.Instant, s *manifester.Service, t *manifester.Target, o ejector.Outcome)
}

// behaviour tells what is wrong with a target, for a request of a VM.
type behaviour struct {
	factor      float64
	failShare   float64
	hang        bool
	unreachable bool
}

// server is a queueing fake of one target.
type server struct {
	busy    int
	waiting []func()
	// busyTime is the sum of the slots' working time.
	busyTime time.Duration
	// runs counts requests; they show who got how much work.
	runs int
}

// world is the event loop with its targets and VMs.
type world struct {
	now     timer.Instant
	queue   events
	order   int
	random  *rand.Rand
	service *manifester.Service
	servers map[string]*server
	// behave returns what is wrong with a target at present.
	behave func(vm int, target string, now time.Duration) behaviour
	vms    []policy
	result tally
	// used tells which VMs sent requests to the bad target before its fault.
	used map[int]bool
	// sentBad counts the requests that met the bad target's fault.
	sentBad int
	// from is when counting begins.
	from timer.Instant
}

// tally counts what came of requests.
type tally struct {
	requests, harmed, failed, shed, refused int
	latencies                               []time.Duration
}

func newWorld(seed uint64, targets, floor int) *world {
	w := &world{
		random:  rand.New(rand.NewPCG(seed, 7)),
		servers: map[string]*server{},
		used:    map[int]bool{},
		behave: func(int, string, time.Duration) behaviour {
			return behaviour{factor: 1}
		},
	}
	list := make([]*manifester.Target, 0, targets)
	for i := range targets {
		name := fmt.Sprintf("t%02d", i+1)
		w.servers[name] = &server{}
		list = append(list, manifester.NewTarget(manifester.TargetSpec{
			Name:        name,
			Address:     fmt.Sprintf("10.0.0.%d:80", i+1),
			DataCentre:  dataCentre(i),
			Slots:       targetSlots,
			Connections: 400,
		}))
	}
	w.service = manifester.NewService("fieldbook", manifester.ClassLookup, floor, list)

	return w
}

func dataCentre(i int) string { return fmt.Sprintf("dc%d", i%dataCentres) }

func (w *world) at(t timer.Instant, run func()) {
	w.order++
	heap.Push(&w.queue, event{at: t, order: w.order, run: run})
}

func (w *world) after(d time.Duration, run func()) { w.at(w.now.Add(d), run) }

// every runs something periodically, for good.
func (w *world) every(first, period time.Duration, run func()) {
	w.after(first, func() {
		run()
		w.every(period, period, run)
	})
}

func (w *world) runUntil(end time.Duration) {
	for w.queue.Len() > 0 && !w.queue[0].at.After(timer.Instant(end)) {
		e, ok := heap.Pop(&w.queue).(event)
		if !ok {
			return
		}
		w.now = e.at
		e.run()
	}
	w.now = timer.Instant(end)
}

// load sends requests at the rate per second through VMs drawn at random.
func (w *world) load(rate func(now time.Duration) float64, request func(vm int)) {
	wait := time.Duration(w.random.ExpFloat64() / rate(time.Duration(w.now)) * float64(time.Second))
	w.after(wait, func() {
		request(w.random.IntN(len(w.vms)))
		w.load(rate, request)
	})
}

// attempt sends one request from a VM; done is called at its end.
func (w *world) attempt(vm int, arrived timer.Instant, done func()) bool {
	started := w.now
	t, ok := w.vms[vm].Pick(started, w.service, nil)
	if !ok {
		return false
	}
	finish := func(r ejector.Result) {
		w.vms[vm].Done(w.now, w.service, t, ejector.NewOutcome(started, w.now.Sub(started), r))
		w.count(arrived, r)
		done()
	}
	b := w.behave(vm, t.Name(), time.Duration(w.now))
	w.note(vm, t.Name(), b)
	switch {
	case b.unreachable:
		w.after(connectWait, func() { finish(ejector.ResultConnect) })
	case b.hang:
		w.after(routeTimeout, func() { finish(ejector.ResultTimeout) })
	default:
		w.serve(vm, t, b, finish)
	}

	return true
}

// note counts the requests that VMs sent to the bad target.
func (w *world) note(vm int, target string, b behaviour) {
	if target != badTarget {
		return
	}
	if time.Duration(w.now) < faultStart {
		w.used[vm] = true
	}
	if b != (behaviour{factor: 1}) && time.Duration(w.now) >= faultStart+settled {
		w.sentBad++
	}
}

func (w *world) serve(vm int, t *manifester.Target, b behaviour, finish func(ejector.Result)) {
	delay := nearDelay
	if t.DataCentre() != dataCentre(vm) {
		delay = farDelay
	}
	s := w.servers[t.Name()]
	w.after(delay, func() {
		if len(s.waiting) >= targetQueue {
			w.after(delay, func() { finish(ejector.ResultShed) })

			return
		}
		s.waiting = append(s.waiting, func() { w.work(s, delay, b, finish) })
		w.next(s)
	})
}

// next starts waiting work on free slots.
func (w *world) next(s *server) {
	for s.busy < targetSlots && len(s.waiting) > 0 {
		run := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.busy++
		run()
	}
}

func (w *world) work(s *server, delay time.Duration, b behaviour, finish func(ejector.Result)) {
	took := time.Duration((float64(leastWork) + w.random.ExpFloat64()*float64(meanExtraWork)) * b.factor)
	r := ejector.ResultOK
	if w.random.Float64() < b.failShare {
		r = ejector.ResultFailed
	}
	s.runs++
	w.after(took, func() {
		s.busy--
		if !w.now.Before(w.from) {
			s.busyTime += took
		}
		w.next(s)
		w.after(delay, func() { finish(r) })
	})
}

func (w *world) count(arrived timer.Instant, r ejector.Result) {
	if arrived.Before(w.from) {
		return
	}
	took := w.now.Sub(arrived)
	w.result.requests++
	w.result.latencies = append(w.result.latencies, took)
	switch {
	case r == ejector.ResultShed:
		w.result.shed++
	case r != ejector.ResultOK:
		w.result.failed++
		w.result.harmed++
	case took >= harmedAfter:
		w.result.harmed++
	}
}
