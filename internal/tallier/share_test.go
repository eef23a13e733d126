package tallier_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	hedgeVMs  = 138
	hedgeTick = 50 * time.Millisecond
	// hedgeRound is the time between two reports of a VM, and silentRounds the number
	// after which a VM that is cut off is no longer heard.
	hedgeRound   = time.Second
	silentRounds = 3
	maxDelay     = 1500 * time.Millisecond
)

var hedgeAccount = tallier.HedgeAccount("bookings")

// shareLimit limits every account to a share of its requests.
type shareLimit struct {
	share float64
	seed  uint32
}

func (l shareLimit) Limit(tallier.Account) (tallier.Limit, bool) {
	return tallier.NewShare(l.share, retryWindow, l.seed), true
}

// delayedCount is what one VM reports to another, on its way.
type delayedCount struct {
	from, to, run     int
	requested, issued uint32
}

// hedgingVM is one limiter and what it received of the others.
type hedgingVM struct {
	tallier *tallier.Tallier
	// run counts the starts of the VM; count is its last report.
	run   int
	count tallier.Count
	// received is by sender: the run and the greatest count.
	received [hedgeVMs]delayedCount
}

// hedgingFleet joins limiters by reports of which a fifth is lost and the others are
// up to maxDelay late.
type hedgingFleet struct {
	now   timer.Instant
	share float64
	vms   []*hedgingVM
	// pending holds the reports on their way by the tick of their arrival.
	pending          map[timer.Instant][]delayedCount
	cutAt            timer.Instant
	cut              int
	requests, hedges []timer.Instant
	wanted           int
	rng              *rand.Rand
}

func newHedgingFleet(share float64) *hedgingFleet {
	f := &hedgingFleet{
		now:     timer.Instant(time.Hour),
		share:   share,
		rng:     rand.New(rand.NewPCG(3, 4)),
		pending: map[timer.Instant][]delayedCount{},
	}
	for i := range hedgeVMs {
		f.vms = append(f.vms, &hedgingVM{})
		f.start(i)
	}

	return f
}

// start replaces a VM by a new one, which knows nothing.
func (f *hedgingFleet) start(i int) {
	f.vms[i] = &hedgingVM{
		tallier: tallier.New(f.now, shareLimit{share: f.share, seed: f.rng.Uint32()}),
		run:     f.vms[i].run + 1,
	}
	f.vms[i].tallier.SetVMCounts(hedgeVMs, hedgeVMs)
}

// run sends requests at the rate to random VMs, of which the fraction wants a hedge.
func (f *hedgingFleet) run(perSecond, wanting float64, d time.Duration) {
	due := 0.0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(hedgeTick) {
		for due += perSecond * hedgeTick.Seconds(); due >= 1; due-- {
			t := f.vms[f.rng.IntN(hedgeVMs)].tallier
			t.AddRequest(f.now, hedgeAccount)
			f.requests = append(f.requests, f.now)
			if f.rng.Float64() >= wanting {
				continue
			}
			f.wanted++
			if t.UseAll(f.now, hedgeAccount).Granted() {
				f.hedges = append(f.hedges, f.now)
			}
		}
		f.deliver()
		if int64(f.now)%int64(hedgeRound) == 0 {
			f.report()
		}
	}
}

func (f *hedgingFleet) report() {
	for i, v := range f.vms {
		for _, c := range v.tallier.StartRound(f.now) {
			v.count = c
		}
		for j := range f.vms {
			if i == j || (i < f.cut) != (j < f.cut) || f.rng.IntN(5) == 0 {
				continue
			}
			at := f.now.Add(time.Duration(1+f.rng.IntN(int(maxDelay/hedgeTick))) * hedgeTick)
			f.pending[at] = append(f.pending[at], delayedCount{
				from: i, to: j, run: v.run, requested: v.count.Requested(), issued: v.count.Used(),
			})
		}
	}
	if f.cut > 0 && f.now.Sub(f.cutAt) > silentRounds*hedgeRound {
		for i, v := range f.vms {
			heard := hedgeVMs - f.cut
			if i < f.cut {
				heard = f.cut
			}
			v.tallier.SetVMCounts(heard, hedgeVMs)
		}
	}
}

func (f *hedgingFleet) deliver() {
	for _, c := range f.pending[f.now] {
		to := f.vms[c.to]
		last := &to.received[c.from]
		if c.run > last.run {
			*last = delayedCount{run: c.run}
		}
		if c.run == last.run && c.requested >= last.requested && c.issued >= last.issued {
			to.tallier.AddRemote(f.now, hedgeAccount, c.requested-last.requested, c.issued-last.issued)
			*last = c
		}
	}
	delete(f.pending, f.now)
}

// worst returns the window in which the hedges come closest to, or most exceed, the share
// of the requests that count for it.
func (f *hedgingFleet) worst() (hedges int, allowed float64) {
	for end := f.requests[0]; end.Before(f.now); end = end.Add(retryWindow / 40) {
		requests := 0
		for _, before := range []time.Duration{0, retryWindow / 2, retryWindow} {
			requests = max(requests, countInWindow(f.requests, end.Add(-before)))
		}
		n, limit := countInWindow(f.hedges, end), f.share*float64(requests)
		if allowed == 0 || float64(n)*allowed > float64(hedges)*limit {
			hedges, allowed = n, limit
		}
	}

	return hedges, allowed
}

// TestHedgeShare checks that 138 VMs together never send more hedges in a window than the
// share of the requests, while reports are lost and late, VMs are killed, links are cut
// and every request wants a hedge at once. It compares the numbers with the golden file.
func TestHedgeShare(t *testing.T) {
	loads := []struct {
		name string
		load func(f *hedgingFleet)
	}{
		{"one request in ten wants a hedge", func(f *hedgingFleet) { f.run(690, 0.1, 40*time.Second) }},
		{"every request wants a hedge for 5 s after a quiet time", func(f *hedgingFleet) {
			f.run(690, 0, 25*time.Second)
			f.run(690, 1, 5*time.Second)
			f.run(690, 0.05, 10*time.Second)
		}},
		{"half of the VMs are cut off as every request wants a hedge", func(f *hedgingFleet) {
			f.run(690, 0, 25*time.Second)
			f.cut, f.cutAt = hedgeVMs/2, f.now
			f.run(690, 1, 20*time.Second)
		}},
		{"twenty VMs are killed each second as every request wants a hedge", func(f *hedgingFleet) {
			f.run(690, 0, 25*time.Second)
			for i := range 10 {
				f.run(690, 1, time.Second)
				for k := range 20 {
					f.start((20*i + k) % hedgeVMs)
				}
			}
			f.run(690, 1, 15*time.Second)
		}},
		{"a burst of ten times the load, then a tenth", func(f *hedgingFleet) {
			f.run(690, 0.1, 15*time.Second)
			f.run(6900, 0.5, 2*time.Second)
			f.run(69, 1, 15*time.Second)
		}},
		{"little load, and every request wants a hedge after a quiet time", func(f *hedgingFleet) {
			for range 4 {
				f.run(138, 0, 15*time.Second)
				f.run(138, 1, 3*time.Second)
			}
		}},
	}
	shares := []float64{0.01, 0.05}
	lines := make([]string, len(loads)*len(shares))
	t.Run("loads", func(t *testing.T) {
		for i := range lines {
			c, share := loads[i/len(shares)], shares[i%len(shares)]
			t.Run(fmt.Sprintf("%s, share %.2f", c.name, share), func(t *testing.T) {
				t.Parallel()
				f := newHedgingFleet(share)
				c.load(f)
				hedges, allowed := f.worst()
				lines[i] = fmt.Sprintf("%s, share %.2f: %d of %d hedges sent for %d requests; worst window %d of %.1f\n",
					c.name, share, len(f.hedges), f.wanted, len(f.requests), hedges, allowed)
				if float64(hedges) > allowed {
					t.Errorf("%d hedges in a window, %.1f are allowed", hedges, allowed)
				}
			})
		}
	})
	goldie.New(t).Assert(t, "hedges", []byte(strings.Join(lines, "")))
}
