package placer_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/placer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// The load of TestOneTargetRejects: 44 VMs send 349 requests a second to ten targets with 8
// slots each; the first target rejects 90 of 100 requests from rejectsFrom to rejectsTo.
const (
	rejectingVMs     = 44
	rejectingTargets = 10
	rejectingRate    = 349
	rejectsFrom      = 3 * time.Second
	rejectsTo        = 11 * time.Second
	rejectingEnd     = 18 * time.Second
	servedAfter      = 30 * time.Millisecond
	rejectedAfter    = 2 * time.Millisecond
	reportEvery      = 500 * time.Millisecond
)

// rejectionVM is one VM of a rejectionFleet. Its rejected and served attempts wait for the
// next report.
type rejectionVM struct {
	fleet      *rejectionFleet
	placer     *placer.Placer
	risks      *estimator.Estimator
	rejections *estimator.Rejections
	pending    []evidence
}

type evidence struct {
	key     estimator.Key
	outcome estimator.Outcome
}

func (v *rejectionVM) ReportOutcome(k estimator.Key, o estimator.Outcome) {
	v.pending = append(v.pending, evidence{key: k, outcome: o})
}

// rejectionFleet simulates VMs whose reports arrive after a delay.
type rejectionFleet struct {
	calmFleet
	simulation

	vms []*rejectionVM
	// attempts counts, by half second, all attempts and those at the first target.
	attempts, first [int(rejectingEnd / reportEvery)]int
}

func newRejectionFleet(uses bool, reportDelay time.Duration) *rejectionFleet {
	f := &rejectionFleet{}
	f.random = rand.New(rand.NewPCG(44, 349)) //nolint:gosec // A test.
	var ids []string
	for i := range rejectingTargets {
		ids = append(ids, fmt.Sprintf("t%d", i))
	}
	list := placer.NewTargets(0, "bookings", 8, ids...)
	for i := range rejectingVMs {
		v := &rejectionVM{
			fleet:      f,
			risks:      estimator.New(f),
			rejections: estimator.NewRejections(),
		}
		v.placer = newPlacer(&f.calmFleet, list, func(s *placer.Spec) {
			s.Risks, s.Observer, s.Reporter, s.Random = v.risks, v.risks, v, f.random.Float64
			if uses {
				s.Rejections = v.rejections
			}
		})
		f.vms = append(f.vms, v)
		f.after(reportEvery*time.Duration(i)/rejectingVMs, func() { v.report(reportDelay) })
		f.after(0, v.arrive)
	}

	return f
}

// report sends the waiting attempts to the other VMs, which receive them after the delay.
func (v *rejectionVM) report(delay time.Duration) {
	list := v.pending
	v.pending = nil
	v.fleet.after(delay, func() {
		for _, o := range v.fleet.vms {
			if o != v {
				o.receive(list)
			}
		}
	})
	v.fleet.after(reportEvery, func() { v.report(delay) })
}

func (v *rejectionVM) receive(list []evidence) {
	for _, e := range list {
		v.rejections.Observe(v.fleet.now, e.key, e.outcome)
		if !e.outcome.Notice() && e.outcome != estimator.OutcomeShed {
			v.risks.ObserveRemote(v.fleet.now, e.key, e.outcome)
		}
	}
}

// arrive makes one attempt and schedules the next.
func (v *rejectionVM) arrive() {
	f := v.fleet
	f.after(time.Duration(f.random.ExpFloat64()*float64(time.Second)*rejectingVMs/rejectingRate), v.arrive)
	a, ok := v.placer.Begin(f.now, placer.AttemptSpec{Service: "bookings", Route: "r"})
	if !ok {
		return
	}
	i := int(time.Duration(f.now) / reportEvery)
	f.attempts[i]++
	r, took := placer.Result{Outcome: estimator.OutcomeServed}, servedAfter
	if a.Member().Target().Name() == "t0" {
		f.first[i]++
		if now := time.Duration(f.now); now >= rejectsFrom && now < rejectsTo && f.random.Float64() < 0.9 {
			r, took = placer.Result{Full: true, Shed: true}, rejectedAfter
		}
	}
	f.after(took, func() { v.placer.End(f.now, a, r) })
}

// share returns the percentage of the attempts from the first to the second instant that
// went to the first target.
func (f *rejectionFleet) share(from, to time.Duration) float64 {
	attempts, first := 0, 0
	for i := from / reportEvery; i < to/reportEvery; i++ {
		attempts += f.attempts[i]
		first += f.first[i]
	}

	return 100 * float64(first) / float64(attempts)
}

// TestOneTargetRejects guards against a fleet that continues to use a target which rejects
// most requests, or that does not use it soon after it has recovered. The golden file has
// the percentage of the attempts that the target gets in each half second.
func TestOneTargetRejects(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	for _, c := range []struct {
		name  string
		uses  bool
		delay time.Duration
	}{
		{"rejection rates not used", false, 20 * time.Millisecond},
		{"rejection rates used", true, 20 * time.Millisecond},
		{"rejection rates used, reports late by 1.5 s", true, 1500 * time.Millisecond},
	} {
		f := newRejectionFleet(c.uses, c.delay)
		f.runUntil(timer.Instant(rejectingEnd))
		fmt.Fprintf(&out, "%s\n", c.name)
		for at := time.Duration(0); at < rejectingEnd; at += reportEvery {
			fmt.Fprintf(&out, "  %4.1f s: %4.1f\n", at.Seconds(), f.share(at, at+reportEvery))
		}
		if !c.uses {
			continue
		}
		if s := f.share(rejectsFrom+2500*time.Millisecond, rejectsTo); s > 3 {
			t.Errorf("%s: the target got %.1f%% of the attempts while it rejected most of them", c.name, s)
		}
		if s := f.share(rejectsTo+4*time.Second, rejectingEnd); s < 7 {
			t.Errorf("%s: the target got %.1f%% of the attempts after it had recovered", c.name, s)
		}
	}
	goldie.New(t).Assert(t, "one_target_rejects", out.Bytes())
}
