package placer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/placer"
	"github.com/lagoonkeel/lagoonkeel/internal/ranker"
	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	service      = "fieldbook"
	slots        = 6
	targetQueue  = 4
	maxAttempts  = 3
	networkTime  = 10 * time.Millisecond
	noticedWait  = 10 * time.Millisecond
	simulatedFor = 6 * time.Second
)

// kind is a stream of requests of one rank.
type kind struct {
	name string
	rank ranker.Rank
	// rate is the number of requests per second, and burst the factor on it from second 2
	// to second 4.
	rate  float64
	burst float64
}

// load describes one run of a simulated fleet.
type load struct {
	name    string
	vms     int
	targets int
	// hot is the number of VMs that get all requests; 0 for all VMs.
	hot      int
	work     time.Duration
	deadline time.Duration
	kinds    []kind
	// late delays reports, lost is the fraction of them that is lost, and sides the number
	// of parts of the fleet that do not hear each other. No VM is heard before deafFor.
	late    time.Duration
	lost    float64
	sides   int
	deafFor time.Duration
	// suspect is the fraction of the targets with a high risk, and leaves the fraction of
	// the callers that leave 50 ms after they arrived.
	suspect float64
	leaves  float64
}

// result counts the requests of one kind by what became of them.
type result struct {
	offered, started, atOnce, later, left, rejected int
	waits                                           []time.Duration
}

// simTarget works on up to slots requests and queues up to targetQueue more.
type simTarget struct {
	busy   int
	queued []func()
}

// simFleet is a discrete-event simulation of a fleet, with the decisions of the real code.
type simFleet struct {
	simulation

	load    load
	members *registrar.Registrar
	targets map[string]*simTarget
	vms     []*simVM
	results []result
	risks   map[estimator.Key]float64
	// sums holds the reported loads of each side.
	sums []map[estimator.Key]int
}

// Risk and Assess make the first targets suspect.
func (f *simFleet) Risk(_ timer.Instant, k estimator.Key) float64 {
	return f.risks[k]
}

func (f *simFleet) Assess(now timer.Instant, k estimator.Key) (float64, time.Duration, bool) {
	return f.Risk(now, k), 0, true
}

func (f *simFleet) Observe(timer.Instant, estimator.Key, estimator.Outcome) {}
func (f *simFleet) ReportOutcome(estimator.Key, estimator.Outcome)          {}

func newSimFleet(l load) *simFleet {
	f := &simFleet{
		load:    l,
		targets: map[string]*simTarget{},
		risks:   map[estimator.Key]float64{},
		results: make([]result, len(l.kinds)),
	}
	f.random = rand.New(rand.NewPCG(20261206, uint64(l.vms)))
	var ids []string
	for i := range l.targets {
		id := fmt.Sprintf("t%02d", i)
		f.targets[id] = &simTarget{}
		ids = append(ids, id)
	}
	f.members = placer.NewTargets(0, service, slots, ids...)
	for i, m := range f.members.Members(service) {
		f.risks[m.Key()] = 0.01
		if float64(i) < l.suspect*float64(l.targets) {
			f.risks[m.Key()] = 0.9
		}
	}
	for range max(1, l.sides) {
		f.sums = append(f.sums, map[estimator.Key]int{})
	}
	for i := range l.vms {
		f.vms = append(f.vms, f.newVM(i))
	}
	for i := range l.kinds {
		f.arrivals(i)
	}

	return f
}

// repeat calls do at fixed intervals from a random instant on.
func (f *simFleet) repeat(period time.Duration, do func()) {
	var step func()
	step = func() {
		do()
		f.after(period, step)
	}
	f.after(time.Duration(f.random.Float64()*float64(period)), step)
}

// arrivals lets requests of a kind arrive at random instants.
func (f *simFleet) arrivals(i int) {
	k := f.load.kinds[i]
	rate := k.rate
	if at := time.Duration(f.now); k.burst > 0 && at >= 2*time.Second && at < 4*time.Second {
		rate *= k.burst
	}
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() {
		n := len(f.vms)
		if f.load.hot > 0 {
			n = f.load.hot
		}
		f.vms[f.random.IntN(n)].enter(i)
		f.arrivals(i)
	})
}

// end frees a slot and starts the next queued request.
func (t *simTarget) end() {
	if len(t.queued) == 0 {
		t.busy--

		return
	}
	next := t.queued[0]
	t.queued = t.queued[1:]
	next()
}

// run simulates the load and returns what became of the requests of each kind.
func (f *simFleet) run() string {
	f.runUntil(timer.Instant(simulatedFor))
	var out strings.Builder
	for i, s := range f.results {
		slices.Sort(s.waits)
		noticed := len(s.waits) - len(slices.DeleteFunc(slices.Clone(s.waits), func(d time.Duration) bool { return d > noticedWait }))
		part := func(n int) float64 { return 100 * float64(n) / float64(max(1, s.offered)) }
		quantile := func(q int) time.Duration { return s.waits[len(s.waits)*q/100].Round(time.Millisecond) }
		fmt.Fprintf(&out, "  %s: offered %d, started %.1f%%, refused at once %.1f%%, refused later %.1f%%, caller left %.1f%%, rejected by targets %.1f%%; "+
			"waited over %v %.2f%%, median %v, p99 %v\n",
			f.load.kinds[i].name, s.offered, part(s.started), part(s.atOnce), part(s.later), part(s.left), part(s.rejected),
			noticedWait, part(noticed), quantile(50), quantile(99))
	}

	return out.String()
}
