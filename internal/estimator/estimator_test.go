package estimator_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// recorder writes the changes that an estimator reports to a transcript.
type recorder struct {
	out *bytes.Buffer
}

// SuspicionChanged writes one change.
func (r *recorder) SuspicionChanged(c estimator.SuspicionChange) {
	fmt.Fprintf(r.out, "  change: suspect=%v by %v own=%v %.2f -> %.2f\n", c.Suspect(), c.Outcome(), c.Own(), c.Before(), c.After())
}

const target = estimator.Key(7)

// TestEvidence compares the risk after each outcome with the golden transcript, for
// outcomes of this VM and of another VM, at three requests a second.
func TestEvidence(t *testing.T) {
	var out bytes.Buffer
	for _, c := range []struct {
		name string
		// steps are the outcomes, by number: 1 served, 2 failed, 4 silent, 5 unreachable,
		// 6 gone, 7 erred.
		steps  []estimator.Outcome
		remote bool
	}{
		{"one failure without earlier evidence", []estimator.Outcome{estimator.OutcomeFailed}, false},
		{"three successes, then failures", []estimator.Outcome{1, 1, 1, 2, 2, 2}, false},
		{"three successes, then failures at another VM", []estimator.Outcome{1, 1, 1, 2, 2, 2}, true},
		{"two silent attempts at this VM", []estimator.Outcome{1, 1, 1, 4, 4}, false},
		{"two silent attempts at another VM", []estimator.Outcome{1, 1, 1, 4, 4}, true},
		{"no connection from this VM", []estimator.Outcome{1, 1, 1, 5}, false},
		{"no connection from another VM", []estimator.Outcome{1, 1, 1, 5}, true},
		{"one failure between successes", []estimator.Outcome{1, 1, 1, 2, 1, 1, 1}, false},
		{"two failures after the usual processing time", []estimator.Outcome{1, 1, 1, 7, 7}, false},
		{"another target has the address", []estimator.Outcome{1, 1, 6}, false},
	} {
		fmt.Fprintf(&out, "%s\n", c.name)
		e := estimator.New(&recorder{out: &out})
		now := timer.Instant(0).Add(time.Hour)
		for _, o := range c.steps {
			now = now.Add(333 * time.Millisecond)
			if c.remote {
				e.ObserveRemote(now, target, o)
			} else {
				e.Observe(now, target, o)
			}
			fmt.Fprintf(&out, "  %v: risk %.3f\n", o, e.Risk(now, target))
		}
		for _, d := range []time.Duration{time.Second, 4 * time.Second, 10 * time.Second, 15 * time.Second} {
			fmt.Fprintf(&out, "  %v later: risk %.3f\n", d, e.Risk(now.Add(d), target))
		}
	}
	goldie.New(t).Assert(t, "evidence", out.Bytes())
}

// TestRisksOfAnotherVM checks that a VM without evidence takes over the risk of another
// VM, and that it keeps its own risk where its evidence is newer.
func TestRisksOfAnotherVM(t *testing.T) {
	var out bytes.Buffer
	now := timer.Instant(0).Add(time.Hour)
	old := estimator.New(&recorder{out: &out})
	for range 3 {
		old.Observe(now, target, estimator.OutcomeFailed)
	}
	now = now.Add(2 * time.Second)
	fresh := estimator.New(&recorder{out: &out})
	fresh.Merge(now, old.Estimates(now))
	if a, b := old.Risk(now, target), fresh.Risk(now, target); a-b > 0.02 || b-a > 0.02 {
		t.Errorf("the new VM has risk %.3f, the other VM %.3f", b, a)
	}
	for range 4 {
		fresh.Observe(now, target, estimator.OutcomeServed)
	}
	before := fresh.Risk(now, target)
	fresh.Merge(now, old.Estimates(now))
	if after := fresh.Risk(now, target); after != before {
		t.Errorf("older evidence changed the risk from %.3f to %.3f", before, after)
	}
}
