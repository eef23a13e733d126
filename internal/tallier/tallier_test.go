package tallier_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	rate  = 20.0
	burst = 20.0
	// window, overage and slack are the users' bound on a team's use: the limit over
	// a window, a tenth more, and 20 requests.
	window  = 5 * time.Second
	overage = 0.1
	slack   = 20
	// reportInterval is the time between two reports of a VM.
	reportInterval = 500 * time.Millisecond
	// vms is the size of the users' fleets.
	vms = 17
)

var team = tallier.TeamAccount("guides")

// fixedLimits resolves the limit of one team and of one service's retries.
type fixedLimits struct{}

// Limit returns the limit of the team or of the retries.
func (fixedLimits) Limit(a tallier.Account) (tallier.Limit, bool) {
	if a == retryAccount {
		l := retrier.NewAllowance(retryRatio, retryExtra, retryWindow)

		return tallier.NewRatio(l.PerRequest(), l.Extra(), l.Window()), true
	}

	return tallier.NewRate(rate, burst), a == team
}

// fleet simulates VMs that exchange reports, on a manual clock.
type fleet struct {
	now      timer.Instant
	talliers []*tallier.Tallier
	// reported holds the counts that each VM reported last.
	reported []tallier.Count
	// cutOff holds the VMs on one side of a network partition.
	cutOff map[int]bool
	// granted holds when uses were granted.
	granted   []timer.Instant
	requested int
	rng       *rand.Rand
}

func newFleet() *fleet {
	f := &fleet{
		now:      timer.Instant(0).Add(time.Hour),
		reported: make([]tallier.Count, vms),
		cutOff:   map[int]bool{},
		rng:      rand.New(rand.NewPCG(1, 2)),
	}
	for range vms {
		t := tallier.New(f.now, fixedLimits{})
		t.SetVMCounts(vms, vms)
		f.talliers = append(f.talliers, t)
	}
	f.now = f.now.Add(8 * time.Second)

	return f
}

// generateLoad calls send with a random VM, at the given rate for the time d.
// firstShare divided by a second is the fraction of the calls that go to the first VM
// instead.
func (f *fleet) generateLoad(perSecond float64, d, firstShare time.Duration, send func(vm int)) {
	const step = 10 * time.Millisecond
	due := 0.0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for due += perSecond * step.Seconds(); due >= 1; due-- {
			i := f.rng.IntN(vms)
			if time.Duration(f.rng.Int64N(int64(time.Second))) < firstShare {
				i = 0
			}
			send(i)
		}
		if int64(f.now)%int64(reportInterval) == 0 {
			f.exchangeReports()
		}
	}
}

// sendTeamRequests sends requests of the team, as generateLoad distributes them.
func (f *fleet) sendTeamRequests(perSecond float64, d, firstShare time.Duration) {
	f.generateLoad(perSecond, d, firstShare, func(vm int) {
		f.requested++
		if f.talliers[vm].Acquire(f.now, team).Granted() {
			f.granted = append(f.granted, f.now)
		}
	})
}

func (f *fleet) exchangeReports() {
	for i, t := range f.talliers {
		for _, c := range t.StartRound(f.now) {
			requested, used := c.Requested()-f.reported[i].Requested(), c.Used()-f.reported[i].Used()
			f.reported[i] = c
			for j, o := range f.talliers {
				if i != j && f.cutOff[i] == f.cutOff[j] {
					o.AddRemote(f.now, c.Account(), requested, used)
				}
			}
		}
	}
}

// restart replaces the first n VMs by new ones without state.
func (f *fleet) restart(n int) {
	for i := range n {
		f.talliers[i] = tallier.New(f.now, fixedLimits{})
		f.talliers[i].SetVMCounts(vms, vms)
		f.reported[i] = tallier.Count{}
	}
}

// partition cuts the first n VMs off from the others.
func (f *fleet) partition(n int) {
	for i, t := range f.talliers {
		f.cutOff[i] = i < n
		heard := vms - n
		if f.cutOff[i] {
			heard = n
		}
		t.SetVMCounts(heard, vms)
	}
}

// maxInWindow returns the greatest use in any window.
func (f *fleet) maxInWindow() int {
	most, from := 0, 0
	for to := range f.granted {
		for f.granted[to].Sub(f.granted[from]) > window {
			from++
		}
		most = max(most, to-from+1)
	}

	return most
}

// TestTeamRate checks under several load patterns that no window has more uses than
// the users allow, and that at most one request in a hundred of a team within its
// rate is refused. It compares the numbers with the golden file.
func TestTeamRate(t *testing.T) {
	bound := int((rate*window.Seconds()+burst)*(1+overage)) + slack
	var out bytes.Buffer
	fmt.Fprintf(&out, "bound %d in %v\n", bound, window)
	for _, c := range []struct {
		name string
		load func(f *fleet)
		// maxRefused is the fraction of the requests that may be refused.
		maxRefused float64
	}{
		{"six tenths of the rate", func(f *fleet) { f.sendTeamRequests(0.6*rate, 30*time.Second, 0) }, 0.001},
		{"six tenths of the rate, a third of it at one VM", func(f *fleet) { f.sendTeamRequests(0.6*rate, 30*time.Second, time.Second/3) }, 0.01},
		{"seven times the rate", func(f *fleet) { f.sendTeamRequests(7*rate, 30*time.Second, 0) }, 1},
		{"seven times the rate after six tenths", func(f *fleet) {
			f.sendTeamRequests(0.6*rate, 10*time.Second, 0)
			f.sendTeamRequests(7*rate, 10*time.Second, 0)
		}, 1},
		{"five times the rate while half of the VMs are cut off", func(f *fleet) {
			f.sendTeamRequests(rate, 5*time.Second, 0)
			f.partition(8)
			f.sendTeamRequests(5*rate, 20*time.Second, 0)
		}, 1},
		{"five times the rate while one VM is cut off", func(f *fleet) { f.partition(1); f.sendTeamRequests(5*rate, 20*time.Second, time.Second/2) }, 1},
		{"five times the rate while all VMs restart", func(f *fleet) {
			f.sendTeamRequests(5*rate, 10*time.Second, 0)
			f.restart(vms)
			f.sendTeamRequests(5*rate, 10*time.Second, 0)
		}, 1},
	} {
		f := newFleet()
		c.load(f)
		refused := 1 - float64(len(f.granted))/float64(f.requested)
		fmt.Fprintf(&out, "%s: at most %d uses in a window, %.3f of the requests refused\n", c.name, f.maxInWindow(), refused)
		if f.maxInWindow() > bound {
			t.Errorf("%s: %d uses in %v, want at most %d", c.name, f.maxInWindow(), window, bound)
		}
		if refused > c.maxRefused {
			t.Errorf("%s: %.3f of the requests were refused, want at most %.3f", c.name, refused, c.maxRefused)
		}
	}
	goldie.New(t).Assert(t, "rate", out.Bytes())
}
