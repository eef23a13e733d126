package retrier_test

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/ranker"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/internal/watcher"
)

// The load of TestRejectionsEverywhere: 44 VMs get 349 requests a second to one service. All
// its targets reject 55 of 100 attempts from shedFrom to shedTo, and fail one in 100 at any
// time. A caller who is told when to return does so at most maxReturns times within patience.
const (
	fleetVMs      = 44
	fleetRate     = 349
	shedFrom      = 12 * time.Second
	shedTo        = 20 * time.Second
	fleetEnd      = 24 * time.Second
	shedShare     = 0.55
	failShare     = 0.01
	shedAfter     = 2 * time.Millisecond
	serveAfter    = 40 * time.Millisecond
	maxReturns    = 3
	patience      = 3 * time.Second
	roundInterval = 500 * time.Millisecond
	budgetRatio   = 0.2
	budgetExtra   = 186
	budgetWindow  = 10 * time.Second
)

// spacingVM is one VM; spaced is nil without the setting.
type spacingVM struct {
	tallier  *tallier.Tallier
	shared   *retrier.SharedRetrier
	spaced   *retrier.SpacedRetrier
	reported map[tallier.Account]tallier.Count
}

// caller is one caller's request, over all its returns.
type caller struct {
	rank     int
	deadline timer.Instant
	began    timer.Instant
	returns  int
	served   bool
}

type fleetEvent struct {
	at  timer.Instant
	run func()
}

// spacingFleet simulates the VMs, whose reports arrive after a delay.
type spacingFleet struct {
	now     timer.Instant
	queue   []fleetEvent
	random  *rand.Rand
	vms     []*spacingVM
	delay   time.Duration
	callers []*caller
	// requests and retries hold when the fleet got requests and made retries.
	requests, retries []timer.Instant
	// earlyDelays counts the retries that waited before the first rejection.
	earlyDelays int
	// maxRetryAfterShare is the largest part of the time left that a caller had to wait.
	maxRetryAfterShare float64
}

func newSpacingFleet(seed uint64, spaced bool, delay time.Duration) *spacingFleet {
	f := &spacingFleet{
		random: rand.New(rand.NewPCG(seed, fleetVMs)), //nolint:gosec // A test.
		delay:  delay,
	}
	l := retrier.NewAllowance(budgetRatio, budgetExtra, budgetWindow)
	budget := tallier.NewRatio(l.PerRequest(), l.Extra(), l.Window())
	for i := range fleetVMs {
		v := &spacingVM{
			tallier:  tallier.New(0, spacedLimits{retries: budget}),
			reported: map[tallier.Account]tallier.Count{},
		}
		v.shared = retrier.NewSharedRetrier(v.tallier)
		if spaced {
			v.spaced = retrier.NewSpacedRetrier(v.tallier, watcher.NewPressure(v.tallier), budgetWindow, f.random.Float64)
			v.shared = v.spaced.SharedRetrier
		}
		v.tallier.SetVMCounts(fleetVMs, fleetVMs)
		f.vms = append(f.vms, v)
		f.after(roundInterval*time.Duration(i)/fleetVMs, func() { f.report(v) })
	}
	f.after(0, f.arrive)

	return f
}

// after schedules a function; of those due at once, the one scheduled first runs first.
func (f *spacingFleet) after(d time.Duration, run func()) {
	e := fleetEvent{at: f.now.Add(d), run: run}
	i, _ := slices.BinarySearchFunc(f.queue, e, func(a, b fleetEvent) int { return cmp.Or(cmp.Compare(a.at, b.at), -1) })
	f.queue = slices.Insert(f.queue, i, e)
}

// report sends the counts of a VM, which the others receive after the delay.
func (f *spacingFleet) report(v *spacingVM) {
	for _, c := range v.tallier.StartRound(f.now) {
		last := v.reported[c.Account()]
		v.reported[c.Account()] = c
		f.after(f.delay, func() {
			for _, o := range f.vms {
				if o != v {
					o.tallier.AddRemote(f.now, c.Account(), c.Requested()-last.Requested(), c.Used()-last.Used())
				}
			}
		})
	}
	f.after(roundInterval, func() { f.report(v) })
}

// ranks are those of the callers, the highest first, with their shares of the requests.
var ranks = []struct {
	rank  ranker.Rank
	share float64
}{
	{ranker.New(0, 1), 0.2},
	{ranker.New(1, 0), 0.3},
	{ranker.New(1, 2), 0.5},
}

// arrive begins one caller's request and schedules the next.
func (f *spacingFleet) arrive() {
	f.after(time.Duration(f.random.ExpFloat64()*float64(time.Second)/fleetRate), f.arrive)
	c := &caller{
		began:    f.now,
		deadline: f.now.Add(patience),
	}
	for at := f.random.Float64() - ranks[0].share; at >= 0 && c.rank < len(ranks)-1; at -= ranks[c.rank].share {
		c.rank++
	}
	f.callers = append(f.callers, c)
	f.send(c)
}

// send sends the request of the caller to any VM.
func (f *spacingFleet) send(c *caller) {
	v := f.vms[f.random.IntN(len(f.vms))]
	f.requests = append(f.requests, f.now)
	v.shared.Begin(f.now, "s")
	if v.spaced != nil {
		v.spaced.NoteRank(f.now, "s", ranks[c.rank].rank)
	}
	f.attempt(c, v, 1, 0)
}

// attempt makes one attempt of a VM. Earlier attempts may have run the request ran times.
func (f *spacingFleet) attempt(c *caller, v *spacingVM, attempts, ran int) {
	now, draw := time.Duration(f.now), f.random.Float64()
	last, took := handler.NewCompletedAttempt(nil, handler.NewResponse(200, nil)), serveAfter
	switch {
	case now >= shedFrom && now < shedTo && draw < shedShare:
		last, took = failed(handler.FaultShed, true), shedAfter
	case draw > 1-failShare:
		last = handler.NewCompletedAttempt(nil, handler.NewResponse(500, nil))
	}
	if last.MayHaveRun() {
		ran++
	}
	f.after(took, func() {
		f.decide(c, v, retrier.RetryState{
			Service:    "s",
			Deadline:   c.deadline,
			Idempotent: true,
			Attempts:   attempts,
			MayHaveRun: ran,
			Last:       last,
			Rank:       ranks[c.rank].rank,
		})
	})
}

// decide ends a request or makes another attempt, as the filter repeat does.
func (f *spacingFleet) decide(c *caller, v *spacingVM, s retrier.RetryState) {
	if v.spaced == nil {
		f.conclude(c, v, s, v.shared.DecideRetry(f.now, s))

		return
	}
	v.spaced.ObserveAttempt(f.now, "s", s.Last)
	p := v.spaced.PlanRetry(f.now, s)
	if p.Stop() != handler.StopNone {
		f.conclude(c, v, s, p.Stop())

		return
	}
	if p.Delay() > 0 && time.Duration(f.now) < shedFrom {
		f.earlyDelays++
	}
	f.after(p.Delay(), func() { f.conclude(c, v, s, v.spaced.DecideRetry(f.now, s)) })
}

func (f *spacingFleet) conclude(c *caller, v *spacingVM, s retrier.RetryState, stop handler.StopReason) {
	switch {
	case stop == handler.StopNone:
		f.retries = append(f.retries, f.now)
		f.attempt(c, v, s.Attempts+1, s.MayHaveRun)
	case s.Last.Status() == 200:
		c.served = true
	case v.spaced != nil && s.MayHaveRun == 0:
		f.sendBack(c, v.spaced.RetryAfter(f.now, c.deadline, 0))
	}
}

// sendBack lets the caller return after the time that the VM gave.
func (f *spacingFleet) sendBack(c *caller, wait time.Duration) {
	if left := c.deadline.Sub(f.now); left > 0 {
		f.maxRetryAfterShare = max(f.maxRetryAfterShare, float64(wait)/float64(left))
	}
	if c.returns++; c.returns <= maxReturns && wait > 0 && f.now.Add(wait).Before(c.deadline) {
		f.after(wait, func() { f.send(c) })
	}
}

func (f *spacingFleet) run() {
	for len(f.queue) > 0 && f.queue[0].at < timer.Instant(fleetEnd) {
		e := f.queue[0]
		f.queue = f.queue[1:]
		f.now = e.at
		e.run()
	}
}

// within returns the number of instants in the platform's window that ends at to.
func within(list []timer.Instant, to timer.Instant) float64 {
	return float64(countTo(list, to) - countTo(list, to.Add(-budgetWindow)))
}

func countTo(list []timer.Instant, to timer.Instant) int {
	i, _ := slices.BinarySearch(list, to+1)

	return i
}

// budgetUsed returns the largest part of the platform's budget that was used in any window.
func (f *spacingFleet) budgetUsed() float64 {
	most := 0.0
	for _, at := range f.retries {
		requests := max(within(f.requests, at), within(f.requests, at.Add(-budgetWindow/2)), within(f.requests, at.Add(-budgetWindow)))
		most = max(most, within(f.retries, at)/(budgetRatio*requests+budgetExtra))
	}

	return most
}

// write writes what share of the callers who began during the rejections were served.
func (f *spacingFleet) write(out io.Writer) {
	total, served := make([]float64, len(ranks)+1), make([]float64, len(ranks)+1)
	for _, c := range f.callers {
		if time.Duration(c.began) < shedFrom || time.Duration(c.began) >= shedTo {
			continue
		}
		for _, i := range []int{c.rank, len(ranks)} {
			total[i]++
			if c.served {
				served[i]++
			}
		}
	}
	for i, r := range ranks {
		fmt.Fprintf(out, "  rank %v: %.3f of %.0f served\n", r.rank, served[i]/total[i], total[i])
	}
	fmt.Fprintf(out, "  all: %.3f of %.0f served\n", served[len(ranks)]/total[len(ranks)], total[len(ranks)])
	counts := map[string]int64{}
	for _, v := range f.vms {
		add := func(name string, n metrics.Counter) { counts[name] += n.Count() }
		if v.spaced != nil {
			v.spaced.Each(add)
		} else {
			v.shared.Each(add)
		}
	}
	fmt.Fprintf(out, "  %v\n  largest part of the platform's budget used in any window: %.2f\n", counts, f.budgetUsed())
}

// TestRejectionsEverywhere records what share of the callers is served, by rank, while all
// targets of a service reject 55 of 100 attempts. It guards against retries beyond the
// platform's budget, against delays before there are rejections, and against a Retry-After
// of more than a quarter of the time left. With the setting the fleet keeps the budget where
// reports are late by half a second. Without it, and where they are late by a second, the
// golden file records what the fleet uses of the budget.
func TestRejectionsEverywhere(t *testing.T) {
	var out bytes.Buffer
	for _, c := range []struct {
		name   string
		spaced bool
		delay  time.Duration
		// bounded is set where the fleet must keep the platform's budget.
		bounded bool
	}{
		{"without the setting", false, 20 * time.Millisecond, true},
		{"with the setting", true, 20 * time.Millisecond, true},
		{"without the setting, reports late by 0.5 s", false, roundInterval, false},
		{"with the setting, reports late by 0.5 s", true, roundInterval, true},
		{"without the setting, reports late by 1 s", false, time.Second, false},
		{"with the setting, reports late by 1 s", true, time.Second, false},
	} {
		f := newSpacingFleet(fleetRate, c.spaced, c.delay)
		f.run()
		fmt.Fprintf(&out, "%s\n", c.name)
		f.write(&out)
		if f.earlyDelays > 0 {
			t.Errorf("%s: %d retries waited before the first rejection", c.name, f.earlyDelays)
		}
		if used := f.budgetUsed(); used > 1 && c.bounded {
			t.Errorf("%s: the fleet used %.2f of the platform's budget", c.name, used)
		}
		if f.maxRetryAfterShare > 0.25 {
			t.Errorf("%s: a caller had to wait for %.2f of the time left", c.name, f.maxRetryAfterShare)
		}
	}
	goldie.New(t).Assert(t, "rejections_everywhere", out.Bytes())
}
