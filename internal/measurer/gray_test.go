package measurer

import (
	"container/heap"
	"math"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/placer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	grayVMs = 17
	// episodeLength is how long a target fails or works at a time. failingShare is the
	// share of episodes in which a target fails, and episodeFailureShare the share of
	// its requests that it then fails, after 1 ms.
	episodeLength       = 9 * time.Second
	failingShare        = 0.3
	episodeFailureShare = 0.85
	// usualFailureShare is the share of the other requests that a target fails after
	// its usual service time.
	usualFailureShare = 0.012
	// reportDelay is the time after which the other VMs hear of a failure, and
	// reportPeriod the time between two reports of successes and of open attempts.
	reportDelay  = time.Millisecond
	reportPeriod = 500 * time.Millisecond
	grayDuration = 8 * time.Minute
	// idleWindow is the length of the windows of time in each of which a target should
	// get a request.
	idleWindow = 2 * time.Second
)

// requestKind is one kind of request to a service; rate is in requests a second, and
// served requests with a latency above objective count as late.
type requestKind struct {
	name        string
	rate        float64
	serviceTime time.Duration
	objective   time.Duration
	repeatable  bool
	// maxFailed and maxRemote bound, in percent of the requests, the requests that fail
	// and the attempts at targets in another data centre.
	maxFailed float64
	maxRemote float64
}

// workload is the load on one service.
type workload struct {
	name    string
	targets int
	kinds   []requestKind
	// degraded is set where a considerable part of the requests is refused before it
	// gets to a target, so that the VMs send trial requests to every idle target.
	degraded bool
	// maxIdle bounds, in percent, the windows in which a target gets no request; 0 means
	// no bound. Repeatable requests are tried at every idle target, so that they soon
	// show whether it works again; for others, fewer targets get trial requests.
	maxIdle float64
}

// grayWorkloads returns loads of two to six requests a second per target, on services
// whose targets fail for seconds at a time.
func grayWorkloads() []workload {
	bookings := requestKind{
		name: "bookings", rate: 48, serviceTime: 310 * time.Millisecond, objective: 1200 * time.Millisecond,
		maxFailed: 3.9, maxRemote: 30,
	}
	notes := requestKind{
		name: "notes", rate: 24, serviceTime: 760 * time.Millisecond, objective: 2 * time.Second, repeatable: true,
		maxFailed: 1, maxRemote: 30,
	}
	lookups := requestKind{
		name: "lookups", rate: 14, serviceTime: 120 * time.Millisecond, objective: 500 * time.Millisecond, repeatable: true,
		maxFailed: 1.5, maxRemote: 30,
	}
	browse := requestKind{
		name: "browse", rate: 17, serviceTime: 400 * time.Millisecond, objective: 1200 * time.Millisecond, repeatable: true,
		maxFailed: 2.5, maxRemote: 40,
	}
	list := []workload{
		{name: "bookings that are not repeatable", targets: 12, kinds: []requestKind{bookings}},
		{name: "repeatable notes and lookups", targets: 16, kinds: []requestKind{notes, lookups}, maxIdle: 10},
		{name: "few targets", targets: 6, kinds: []requestKind{browse}, maxIdle: 10},
	}
	for _, w := range list[:3] {
		heavy := workload{name: w.name + " at 1.5 times the rate", targets: w.targets, maxIdle: w.maxIdle}
		for _, k := range w.kinds {
			k.rate *= 1.5
			k.maxFailed *= 1.4
			k.maxRemote *= 1.4
			heavy.kinds = append(heavy.kinds, k)
		}
		list = append(list, heavy)
	}
	browse.rate, lookups.rate = 155, 30
	list = append(list, workload{
		name:     "many targets while another team is far over its rate",
		targets:  52,
		kinds:    []requestKind{browse, lookups},
		degraded: true,
		maxIdle:  5,
	})

	return list
}

// grayCount counts the requests of one kind by their results; remote counts attempts at
// targets in another data centre.
type grayCount struct {
	requests, repeated, failed, late, remote int
}

// generateLoad makes requests of the kind arrive as a Poisson process until the
// simulation ends.
func (sm *graySimulation) generateLoad(k requestKind) {
	sm.counts[k.name] = &grayCount{}
	sm.after(time.Duration(sm.random.ExpFloat64()/k.rate*float64(time.Second)), func() { sm.startRequest(k) })
}

func (sm *graySimulation) startRequest(k requestKind) {
	sm.counts[k.name].requests++
	r := &grayRequest{
		sim:     sm,
		vm:      sm.vms[sm.random.IntN(len(sm.vms))],
		kind:    k,
		count:   sm.counts[k.name],
		arrived: sm.now,
	}
	r.attempt()
	sm.after(time.Duration(sm.random.ExpFloat64()/k.rate*float64(time.Second)), func() { sm.startRequest(k) })
}

// grayRequest is one request with its attempts.
type grayRequest struct {
	sim     *graySimulation
	vm      *grayVM
	kind    requestKind
	count   *grayCount
	arrived timer.Instant
	tried   []string
}

// attempt sends the request to a target.
func (r *grayRequest) attempt() {
	sm := r.sim
	a, ok := r.vm.placer.Begin(sm.now, placer.AttemptSpec{
		Service:     "service",
		Route:       r.kind.name,
		LatencyGoal: r.kind.objective,
		Tried:       r.tried,
		Repeatable:  r.kind.repeatable && len(r.tried) == 0,
		Abandon:     func() {},
	})
	if !ok {
		r.count.failed++

		return
	}
	id := a.Member().Target().Name()
	r.tried = append(r.tried, id)
	s := sm.servers[id]
	if s.dataCentre != r.vm.dataCentre {
		r.count.remote++
	}
	s.recordArrival(sm.now)
	sm.after(remoteDelay, func() { sm.execute(s, r.kind, func(o estimator.Outcome) { r.end(a, o) }) })
}

// execute runs a request at the target once a slot is free.
func (sm *graySimulation) execute(s *grayServer, k requestKind, done func(o estimator.Outcome)) {
	if s.busy >= targetSlots {
		s.waiting = append(s.waiting, func() { sm.execute(s, k, done) })

		return
	}
	s.busy++
	serviceTime := time.Duration(float64(k.serviceTime) * math.Exp(0.3*sm.random.NormFloat64()))
	outcome := estimator.OutcomeServed
	switch {
	case s.failing(sm.now) && sm.random.Float64() < episodeFailureShare:
		serviceTime = time.Millisecond
		outcome = estimator.OutcomeFailed
	case sm.random.Float64() < usualFailureShare:
		outcome = estimator.OutcomeFailed
	}
	sm.after(serviceTime, func() {
		s.busy--
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			next()
		}
		done(outcome)
	})
}

// end ends an attempt, and sends a failed request once more if it is repeatable.
func (r *grayRequest) end(a *placer.Attempt, o estimator.Outcome) {
	r.vm.placer.End(r.sim.now, a, placer.Result{Outcome: o})
	switch {
	case o == estimator.OutcomeServed:
		if r.sim.now.Sub(r.arrived) > r.kind.objective {
			r.count.late++
		}
	case r.kind.repeatable && len(r.tried) == 1:
		r.count.repeated++
		r.attempt()
	default:
		r.count.failed++
	}
}

// TestGray bounds the failed requests, the attempts in another data centre and the time
// that targets get no request while targets fail for seconds at a time. It guards against
// VMs that keep sending to failing targets, avoid targets that work again, or leave their
// data centre without need. It logs the figures.
func TestGray(t *testing.T) {
	for _, w := range grayWorkloads() {
		t.Run(w.name, func(t *testing.T) {
			t.Parallel()
			sm := newGraySimulation(1, w)
			for _, k := range w.kinds {
				sm.generateLoad(k)
			}
			sm.runFor(grayDuration)
			for _, k := range w.kinds {
				sm.counts[k.name].check(t, k)
			}
			sm.checkIdle(t, w)
		})
	}
}

// runFor runs the simulation for the given time.
func (sm *graySimulation) runFor(d time.Duration) {
	for end := sm.now.Add(d); sm.queue[0].at.Before(end); {
		e, _ := heap.Pop(&sm.queue).(event)
		sm.now = e.at
		e.run()
	}
}

// check compares the counts with the bounds of their kind.
func (c *grayCount) check(t *testing.T, k requestKind) {
	percent := func(n int) float64 { return 100 * float64(n) / float64(c.requests) }
	t.Logf("%s: failed %.1f%%, repeated %.1f%%, late %.1f%%, attempts in another data centre %.0f%%",
		k.name, percent(c.failed), percent(c.repeated), percent(c.late), percent(c.remote))
	if percent(c.failed) > k.maxFailed {
		t.Errorf("%s: %.1f%% of the requests failed, want at most %.1f%%", k.name, percent(c.failed), k.maxFailed)
	}
	if percent(c.remote) > k.maxRemote {
		t.Errorf("%s: %.0f attempts in another data centre per 100 requests, want at most %.0f", k.name, percent(c.remote), k.maxRemote)
	}
}

// checkIdle compares the share of windows without requests with the workload's bound.
func (sm *graySimulation) checkIdle(t *testing.T, w workload) {
	used := 0
	for _, s := range sm.servers {
		used += s.usedWindows
	}
	idle := 100 - 100*float64(used)/float64(len(sm.servers)*int(grayDuration/idleWindow))
	t.Logf("windows without requests: %.1f%%", idle)
	if w.maxIdle > 0 && idle > w.maxIdle {
		t.Errorf("targets got no request in %.1f%% of the windows of %v, want at most %.1f%%", idle, idleWindow, w.maxIdle)
	}
}
