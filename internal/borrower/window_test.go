package borrower_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/lagoonkeel/lagoonkeel/internal/keyer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// limit is a team's limits from an instant on.
type limit struct {
	from  timer.Instant
	rate  float64
	burst float64
}

// overrun returns the first window with more admissions than the larger of the
// limits that were in force on any VM in it.
func overrun(admissions []timer.Instant, limits []limit) string {
	for i, from := range admissions {
		inForce := since(limits, from)
		for j := i; j < len(admissions); j++ {
			if !allowed(inForce, admissions[j], admissions[j].Sub(from), j-i+1) {
				return fmt.Sprintf("%d admissions in %v from %v", j-i+1, admissions[j].Sub(from), time.Duration(from))
			}
		}
	}

	return ""
}

// since drops the limits that were in force nowhere at the instant or later.
func since(limits []limit, from timer.Instant) []limit {
	for len(limits) > 1 && limits[1].from.Add(changeLag).Before(from) {
		limits = limits[1:]
	}

	return limits
}

// allowed reports whether one of the limits up to the instant allows n
// admissions in the span.
func allowed(limits []limit, to timer.Instant, span time.Duration, n int) bool {
	for _, l := range limits {
		if !l.from.After(to) && float64(n) <= l.burst+l.rate*span.Seconds()+1e-6 {
			return true
		}
	}

	return false
}

// scenario is a run with faults drawn from the seed.
type scenario struct {
	fleet  *fleet
	limits []limit
	log    []string
}

func newScenario(seed int64) *scenario {
	s := &scenario{}
	f := newFleet(uint64(seed), 3+int(uint64(seed)%8), manifester.NewTeam("guides", 20, 20, 1, []string{keyer.Digest("lk_test")}))
	rate := []float64{5, 20, 40}[f.random.IntN(3)]
	burst := []float64{1, 3, 12, 30, 60}[f.random.IntN(5)]
	f = newFleet(uint64(seed), len(f.vms), manifester.NewTeam("guides", rate, burst, 1, []string{keyer.Digest("lk_test")}))
	f.lossShare = 0.02
	s.fleet = f
	s.limits = []limit{{rate: rate, burst: burst}}

	return s
}

const scenarioTime = 20 * time.Second

// load sends ten times the rate, in an on-off pattern that lets buckets fill.
func (s *scenario) load() {
	f := s.fleet
	end := timer.Instant(0).Add(scenarioTime)
	var next func()
	next = func() {
		pause := time.Duration(f.random.ExpFloat64() / (10 * f.team.Rate()) * float64(time.Second))
		if f.random.IntN(400) == 0 {
			pause += f.delay(3 * time.Second)
		}
		if f.now.Add(pause).After(end) {
			return
		}
		f.at(pause, nil, func() {
			v := f.vms[f.random.IntN(len(f.vms))]
			if !v.dead && !v.frozen.After(f.now) {
				f.request(v, time.Second, func(bool) {})
			}
			next()
		})
	}
	next()
}

// faults schedules one fault every few seconds.
func (s *scenario) faults() {
	f := s.fleet
	for at := 2 * time.Second; at < scenarioTime-3*time.Second; at += time.Second + f.delay(3*time.Second) {
		f.at(at, nil, s.fault)
	}
}

func (s *scenario) fault() {
	f := s.fleet
	v := f.holder(f.random.IntN(3))
	if v.dead || v.frozen.After(f.now) {
		return
	}
	kind := f.random.IntN(5)
	switch kind {
	case 0:
		if s.living() > 2 {
			f.unseat(v)
			v.dead = true
		}
	case 1:
		if s.living() > 2 {
			v.frozen = f.now.Add(f.delay(5 * time.Second))
			f.unseat(v)
		}
	case 2:
		s.cut(v)
	case 3:
		f.addVM()
		f.unseat(v)
	case 4:
		rate := []float64{5, 10, 20, 40}[f.random.IntN(4)]
		burst := []float64{3, 12, 30, 60}[f.random.IntN(4)]
		f.change(rate, burst)
		s.limits = append(s.limits, limit{from: f.now, rate: rate, burst: burst})
	}
	s.log = append(s.log, fmt.Sprintf("%v kind %d vm %d", time.Duration(f.now), kind, v.number))
}

// cut lets a holder lose its lease while half of the VMs still reach it and
// do not learn of the successor for a while.
func (s *scenario) cut(v *vm) {
	f := s.fleet
	if s.living() <= 2 {
		return
	}
	for _, w := range f.vms {
		w.stale = w == v || w.number%2 == 0 && s.fresh(w)
	}
	f.unseat(v)
	f.at(3*time.Second, nil, func() {
		for _, w := range f.vms {
			w.stale = false
			for r, t := range f.holders {
				w.hints[r] = t[len(t)-1].vm
			}
		}
	})
}

// fresh reports whether a running VM besides w would still learn of changes.
func (s *scenario) fresh(w *vm) bool {
	n := 0
	for _, v := range s.fleet.vms {
		if v != w && !v.dead && !v.frozen.After(s.fleet.now) && v.number%2 == 1 {
			n++
		}
	}

	return n > 1
}

func (s *scenario) living() int {
	n := 0
	for _, v := range s.fleet.vms {
		if !v.dead && !v.frozen.After(s.fleet.now) && !v.stale {
			n++
		}
	}

	return n
}

func (s *scenario) run() string {
	s.load()
	s.faults()
	s.fleet.run(timer.Instant(0).Add(scenarioTime))

	return overrun(s.fleet.admissions, s.limits)
}

func parameters(runs int) *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(20240517)
	p.MinSuccessfulTests = runs
	p.MaxShrinkCount = 0

	return p
}

// TestWindows checks every window of the admission record of fleets whose
// holders are killed, frozen past their lease and cut off one way, while VMs
// are added and limits changed.
func TestWindows(t *testing.T) {
	total := 0
	properties := gopter.NewProperties(parameters(50))
	properties.Property("no window holds more than burst + rate x T", prop.ForAll(func(seed int64) string {
		s := newScenario(seed)
		bad := s.run()
		total += len(s.fleet.admissions)
		if bad != "" {
			return fmt.Sprintf("%s\nlimits %+v\n%v", bad, s.limits, s.log)
		}

		return ""
	}, gen.Int64Range(0, 1<<40)))
	properties.TestingRun(t)
	t.Logf("%d admissions checked", total)
}

// TestWindowsUnfenced is the negative control: without the check of the lease
// the same runs must exceed a window.
func TestWindowsUnfenced(t *testing.T) {
	broken := 0
	const runs = 20
	for seed := range int64(runs) {
		s := newScenario(seed)
		s.fleet.fenced = false
		if s.run() != "" {
			broken++
		}
	}
	t.Logf("%d of %d unfenced runs exceeded a window", broken, runs)
	if broken == 0 {
		t.Error("no unfenced run exceeded a window; the check finds nothing")
	}
}
