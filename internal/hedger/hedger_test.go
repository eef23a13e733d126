package hedger_test

import (
	"bytes"
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/hedger"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	hedgeWindow = 10 * time.Second
	timeout     = 4 * time.Second
	// perSecond is the rate of the simulated requests.
	perSecond = 100
	warmUp    = 25 * time.Second
	measured  = 120 * time.Second
)

// accountLimits gives the accounts of one service and route their limits.
type accountLimits struct {
	share float64
	// extraRetries is the retry budget without requests.
	extraRetries float64
}

func (l accountLimits) Limit(a tallier.Account) (tallier.Limit, bool) {
	switch a {
	case tallier.HedgeAccount("s"):
		return tallier.NewShare(l.share, hedgeWindow, 1), true
	case tallier.RetryAccount("s"):
		return tallier.NewRatio(0, l.extraRetries, hedgeWindow), true
	default:
		return tallier.NewRatio(1, 0, hedger.LatencyWindow), true
	}
}

func neverDegraded(timer.Instant, string) bool { return false }

func request(now timer.Instant) hedger.Request {
	return hedger.Request{
		Service:    "s",
		Route:      "r",
		Deadline:   now.Add(timeout),
		Idempotent: true,
		Attempts:   1,
		MayHaveRun: 1,
		Limit:      2,
	}
}

// event is something that happens at an instant of a simulation.
type event struct {
	at timer.Instant
	do func()
}

// simulation sends requests of which each runs at one of ten targets, by a clock of its own.
type simulation struct {
	hedger  *hedger.Hedger
	tallier *tallier.Tallier
	events  []event
	now     timer.Instant
	rng     *rand.Rand
	// latency draws the latency of an attempt at a target.
	latency func(target int) time.Duration
	// took and hedges are counted from the instant from on.
	from   timer.Instant
	took   []time.Duration
	hedges int
	// hedged holds when each hedge was sent.
	hedged []timer.Instant
}

func newSimulation(share float64, latency func(*rand.Rand, timer.Instant, int) time.Duration) *simulation {
	s := &simulation{
		now: timer.Instant(time.Hour),
		rng: rand.New(rand.NewPCG(5, 6)),
	}
	s.tallier = tallier.New(s.now, accountLimits{share: share, extraRetries: math.MaxInt32})
	s.hedger = hedger.New(s.tallier, neverDegraded)
	s.from = s.now.Add(warmUp)
	s.latency = func(target int) time.Duration { return latency(s.rng, s.now, target) }

	return s
}

// after schedules a step; of those due at once, the one scheduled first runs first.
func (s *simulation) after(d time.Duration, do func()) {
	e := event{at: s.now.Add(d), do: do}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b event) int { return cmp.Or(cmp.Compare(a.at, b.at), -1) })
	s.events = slices.Insert(s.events, i, e)
}

// send sends one request, and hedges it if the hedger says so.
func (s *simulation) send(share float64) {
	began, first := s.now, s.rng.IntN(10)
	firstTakes := s.latency(first)
	done := false
	finish := func() {
		if done {
			return
		}
		done = true
		s.hedger.Record(s.now, "r", s.now.Sub(began))
		if began >= s.from {
			s.took = append(s.took, s.now.Sub(began))
		}
	}
	s.after(firstTakes, finish)
	r := request(began)
	s.hedger.Begin(began, "s")
	delay, ok := s.hedger.Delay(began, r)
	if !ok || share == 0 {
		return
	}
	s.after(delay, func() {
		if done || !s.hedger.Allow(s.now, r) {
			return
		}
		s.hedged = append(s.hedged, s.now)
		if s.now >= s.from {
			s.hedges++
		}
		s.after(s.latency((first+1+s.rng.IntN(9))%10), finish)
	})
}

// run sends requests until the measured time has passed.
func (s *simulation) run(share float64) {
	end := s.from.Add(measured)
	var arrive func()
	arrive = func() {
		s.send(share)
		if s.now.Before(end) {
			s.after(time.Duration(s.rng.ExpFloat64()*float64(time.Second)/perSecond), arrive)
		}
	}
	var report func()
	report = func() {
		s.tallier.StartRound(s.now)
		if s.now.Before(end) {
			s.after(500*time.Millisecond, report)
		}
	}
	s.after(0, arrive)
	s.after(0, report)
	for len(s.events) > 0 {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		e.do()
	}
	slices.Sort(s.took)
}

func (s *simulation) percentile(p float64) time.Duration {
	return s.took[int(p*float64(len(s.took)-1))].Round(time.Millisecond)
}

// heavyTail draws from a log-normal distribution around the median, of which one in a hundred
// takes ten times as long.
func heavyTail(rng *rand.Rand, median time.Duration) time.Duration {
	d := float64(median) * math.Exp(0.5*rng.NormFloat64())
	if rng.IntN(100) == 0 {
		d *= 10
	}

	return time.Duration(d)
}

// TestSlowTarget compares with the golden file the latency and the extra attempts without
// hedging and at several shares, where one target in ten is ten times as slow, and where
// only the tail is slow. The extra attempts must not exceed the share, and hedging must not
// make the 99th percentile worse.
func TestSlowTarget(t *testing.T) {
	var out bytes.Buffer
	for _, c := range []struct {
		name    string
		latency func(*rand.Rand, timer.Instant, int) time.Duration
	}{
		{"one target in ten is slow", func(rng *rand.Rand, _ timer.Instant, target int) time.Duration {
			if target == 0 {
				return heavyTail(rng, 300*time.Millisecond)
			}

			return heavyTail(rng, 30*time.Millisecond)
		}},
		{"all targets are alike", func(rng *rand.Rand, _ timer.Instant, _ int) time.Duration { return heavyTail(rng, 30*time.Millisecond) }},
	} {
		fmt.Fprintf(&out, "%s\n", c.name)
		without := time.Duration(0)
		for _, share := range []float64{0, 0.01, 0.02, 0.05, 0.2} {
			s := newSimulation(share, c.latency)
			s.run(share)
			extra := float64(s.hedges) / float64(len(s.took))
			fmt.Fprintf(&out, "  share %.2f: p50 %v, p95 %v, p99 %v, p99.9 %v, extra attempts %.4f\n", share,
				s.percentile(0.5), s.percentile(0.95), s.percentile(0.99), s.percentile(0.999), extra)
			if share == 0 {
				without = s.percentile(0.99)
			}
			if extra > share || s.percentile(0.99) > without {
				t.Errorf("%s: share %.2f: extra attempts %.4f, p99 %v; without hedging %v", c.name, share, extra, s.percentile(0.99), without)
			}
		}
	}
	goldie.New(t).Assert(t, "slow_target", out.Bytes())
}

// TestSlowEverywhere compares with the golden file the hedges of a service all of whose
// targets become slow at once. From 4 s on it must get none: they would only add load to
// targets that are overloaded. Once the slow latencies have left the
// window, it must get some again.
func TestSlowEverywhere(t *testing.T) {
	const share, slowTime = 0.05, 15 * time.Second
	var out bytes.Buffer
	for _, slowdown := range []float64{1, 3, 10, 40} {
		s := newSimulation(share, nil)
		slowFrom := s.from.Add(measured / 2)
		s.latency = func(int) time.Duration {
			d := heavyTail(s.rng, 30*time.Millisecond)
			if s.now.Before(slowFrom) || s.now.After(slowFrom.Add(slowTime)) {
				return d
			}

			return time.Duration(slowdown * float64(d))
		}
		s.run(share)
		sent := func(from, to time.Duration) int {
			n := 0
			for _, at := range s.hedged {
				if d := at.Sub(slowFrom); d >= from && d < to {
					n++
				}
			}

			return n
		}
		fmt.Fprintf(&out, "all targets %.0f times as slow for %v: %d hedges in the 15 s before, %d from 0 to 4 s, %d from 4 to 15 s, %d from 40 to 55 s\n",
			slowdown, slowTime, sent(-slowTime, 0), sent(0, 4*time.Second), sent(4*time.Second, slowTime), sent(40*time.Second, 55*time.Second))
		if n := sent(4*time.Second, slowTime); slowdown > 1 && n > 0 {
			t.Errorf("%.0f times as slow: %d hedges", slowdown, n)
		}
		if sent(40*time.Second, 55*time.Second) == 0 {
			t.Errorf("%.0f times as slow: no hedges afterwards", slowdown)
		}
	}
	goldie.New(t).Assert(t, "slow_everywhere", out.Bytes())
}

// TestConditions compares with the golden file which requests are hedged, and which of the
// limits refused one. It guards against hedges of requests that must run once, that gain
// nothing, or that exceed the retry budget.
func TestConditions(t *testing.T) {
	var out bytes.Buffer
	for _, c := range []struct {
		name     string
		samples  int
		retries  float64
		requests int
		degraded bool
		change   func(r *hedger.Request)
	}{
		{"hedged", 100, 1000, 1000, false, nil},
		{"39 samples", 39, 1000, 1000, false, nil},
		{"40 samples", 40, 1000, 1000, false, nil},
		{"the service is degraded", 100, 1000, 1000, true, nil},
		{"the retry budget is used up", 100, 0, 1000, false, nil},
		{"the limit of hedges is used up", 100, 1000, 1, false, nil},
		{"may run only once", 100, 1000, 1000, false, func(r *hedger.Request) { r.Idempotent = false }},
		{"the route allows one attempt", 100, 1000, 1000, false, func(r *hedger.Request) { r.Limit = 1 }},
		{"the attempts are used up", 100, 1000, 1000, false, func(r *hedger.Request) { r.Attempts, r.MayHaveRun = 2, 2 }},
		{"too little time after the delay", 100, 1000, 1000, false, func(r *hedger.Request) { r.Deadline = r.Deadline.Add(60*time.Millisecond - timeout) }},
	} {
		now := timer.Instant(time.Hour)
		limits := accountLimits{share: 0.02, extraRetries: c.retries}
		counts := tallier.New(now, limits)
		h := hedger.New(counts, func(timer.Instant, string) bool { return c.degraded })
		now = now.Add(hedgeWindow + time.Second)
		for range c.requests {
			h.Begin(now, "s")
		}
		for range c.samples {
			h.Record(now, "r", 30*time.Millisecond)
		}
		r := request(now)
		if c.change != nil {
			c.change(&r)
		}
		delay, ok := h.Delay(now, r)
		allowed := ok && h.Allow(now.Add(delay), r)
		fmt.Fprintf(&out, "%s: may be hedged %v, after %v; hedged %v", c.name, ok, delay, allowed)
		h.Each(func(name string, n metrics.Counter) {
			if n.Count() > 0 {
				fmt.Fprintf(&out, ", %s %d", name, n.Count())
			}
		})
		_, _ = out.WriteString("\n")
	}
	goldie.New(t).Assert(t, "conditions", out.Bytes())
}
