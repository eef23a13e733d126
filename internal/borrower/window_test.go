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

// limit is a pair of rate and burst that a team has from an instant on.
type limit struct {
	from  timer.Instant
	rate  float64
	burst float64
}

// findViolation describes the first window with more admissions than each of the
// limits that were in force on a VM during the window allows; "" if there is none.
func findViolation(admissions []timer.Instant, limits []limit) string {
	for i, from := range admissions {
		inForce := limitsFrom(limits, from)
		for j := i; j < len(admissions); j++ {
			if !allowed(inForce, admissions[j], admissions[j].Sub(from), j-i+1) {
				return fmt.Sprintf("%d admissions in %v from %v", j-i+1, admissions[j].Sub(from), time.Duration(from))
			}
		}
	}

	return ""
}

// limitsFrom drops the limits that were in force on no VM at the instant or later.
func limitsFrom(limits []limit, from timer.Instant) []limit {
	for len(limits) > 1 && limits[1].from.Add(changeLag).Before(from) {
		limits = limits[1:]
	}

	return limits
}

// allowed reports whether one of the limits published by the end of a window
// allows n admissions in it.
func allowed(limits []limit, to timer.Instant, span time.Duration, n int) bool {
	for _, l := range limits {
		if !l.from.After(to) && float64(n) <= l.burst+l.rate*span.Seconds()+1e-6 {
			return true
		}
	}

	return false
}

// scenario is a simulated run with faults derived from the seed.
type scenario struct {
	fleet    *fleet
	limits   []limit
	faultLog []string
}

func newScenario(seed int64) *scenario {
	s := &scenario{}
	f := newFleet(uint64(seed), 3+int(uint64(seed)%8), manifester.NewTeam("guides", 20, 20, 1, []string{keyer.Digest("lk_test")}))
	rate := []float64{5, 20, 40}[f.random.IntN(3)]
	burst := []float64{1, 3, 12, 30, 60}[f.random.IntN(5)]
	f = newFleet(uint64(seed), len(f.vms), manifester.NewTeam("guides", rate, burst, 1, []string{keyer.Digest("lk_test")}))
	f.lossRate = 0.02
	s.fleet = f
	s.limits = []limit{{rate: rate, burst: burst}}

	return s
}

const scenarioTime = 20 * time.Second

// generateLoad sends ten times the rate, with pauses in which buckets fill.
func (s *scenario) generateLoad() {
	f := s.fleet
	end := timer.Instant(0).Add(scenarioTime)
	var scheduleNext func()
	scheduleNext = func() {
		pause := time.Duration(f.random.ExpFloat64() / (10 * f.team.Rate()) * float64(time.Second))
		if f.random.IntN(400) == 0 {
			pause += f.randomDelay(3 * time.Second)
		}
		if f.now.Add(pause).After(end) {
			return
		}
		f.schedule(pause, nil, func() {
			v := f.vms[f.random.IntN(len(f.vms))]
			if !v.dead && !v.frozenUntil.After(f.now) {
				f.request(v, time.Second, func(bool) {})
			}
			scheduleNext()
		})
	}
	scheduleNext()
}

// scheduleFaults schedules one fault every 1 to 4 seconds.
func (s *scenario) scheduleFaults() {
	f := s.fleet
	for at := 2 * time.Second; at < scenarioTime-3*time.Second; at += time.Second + f.randomDelay(3*time.Second) {
		f.schedule(at, nil, s.injectFault)
	}
}

func (s *scenario) injectFault() {
	f := s.fleet
	v := f.holder(f.random.IntN(3))
	if v.dead || v.frozenUntil.After(f.now) {
		return
	}
	kind := f.random.IntN(5)
	switch kind {
	case 0:
		if s.runningCount() > 2 {
			f.replaceHolder(v)
			v.dead = true
		}
	case 1:
		if s.runningCount() > 2 {
			v.frozenUntil = f.now.Add(f.randomDelay(5 * time.Second))
			f.replaceHolder(v)
		}
	case 2:
		s.partitionHolder(v)
	case 3:
		f.addVM()
		f.replaceHolder(v)
	case 4:
		rate := []float64{5, 10, 20, 40}[f.random.IntN(4)]
		burst := []float64{3, 12, 30, 60}[f.random.IntN(4)]
		f.changeLimits(rate, burst)
		s.limits = append(s.limits, limit{from: f.now, rate: rate, burst: burst})
	}
	s.faultLog = append(s.faultLog, fmt.Sprintf("%v kind %d vm %d", time.Duration(f.now), kind, v.number))
}

// partitionHolder makes a holder lose its lease while it and the even-numbered
// VMs do not learn of the successor for 3 s. These VMs can still reach it.
func (s *scenario) partitionHolder(v *vm) {
	f := s.fleet
	if s.runningCount() <= 2 {
		return
	}
	for _, w := range f.vms {
		w.stale = w == v || w.number%2 == 0 && s.hasFreshPeers(w)
	}
	f.replaceHolder(v)
	f.schedule(3*time.Second, nil, func() {
		for _, w := range f.vms {
			w.stale = false
			for r, t := range f.holders {
				w.knownHolders[r] = t[len(t)-1].vm
			}
		}
	})
}

// hasFreshPeers reports whether at least two odd-numbered VMs other than w run, so
// that one of them, even if the other is the partitioned holder, still learns of
// changes.
func (s *scenario) hasFreshPeers(w *vm) bool {
	n := 0
	for _, v := range s.fleet.vms {
		if v != w && !v.dead && !v.frozenUntil.After(s.fleet.now) && v.number%2 == 1 {
			n++
		}
	}

	return n > 1
}

func (s *scenario) runningCount() int {
	n := 0
	for _, v := range s.fleet.vms {
		if !v.dead && !v.frozenUntil.After(s.fleet.now) && !v.stale {
			n++
		}
	}

	return n
}

func (s *scenario) run() string {
	s.generateLoad()
	s.scheduleFaults()
	s.fleet.run(timer.Instant(0).Add(scenarioTime))

	return findViolation(s.fleet.admissions, s.limits)
}

func parameters(runs int) *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(20240517)
	p.MinSuccessfulTests = runs
	p.MaxShrinkCount = 0

	return p
}

// TestAdmissionWindows checks that no window of length T admits more than
// burst + rate x T requests while holders are killed, frozen past their lease or
// partitioned, VMs are added and limits changed.
func TestAdmissionWindows(t *testing.T) {
	total := 0
	properties := gopter.NewProperties(parameters(50))
	properties.Property("no window of length T admits more than burst + rate x T requests", prop.ForAll(func(seed int64) string {
		s := newScenario(seed)
		violation := s.run()
		total += len(s.fleet.admissions)
		if violation != "" {
			return fmt.Sprintf("%s\nlimits %+v\n%v", violation, s.limits, s.faultLog)
		}

		return ""
	}, gen.Int64Range(0, 1<<40)))
	properties.TestingRun(t)
	t.Logf("%d admissions checked", total)
}

// TestAdmissionWindowsWithoutLeaseCheck checks that the simulation can exceed the bound:
// without the check of the lease at least one run must do so.
func TestAdmissionWindowsWithoutLeaseCheck(t *testing.T) {
	violations := 0
	const runs = 20
	for seed := range int64(runs) {
		s := newScenario(seed)
		s.fleet.leaseChecked = false
		if s.run() != "" {
			violations++
		}
	}
	t.Logf("%d of %d runs without the lease check exceeded the bound", violations, runs)
	if violations == 0 {
		t.Error("no run without the lease check exceeded the bound; the test detects nothing")
	}
}
