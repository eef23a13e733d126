package placer_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/placer"
	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// fixedPacer allows a number of requests to cold targets, and counts the calls.
type fixedPacer struct {
	tokens           int
	asked, held, got int
}

func (f *fixedPacer) MaySend(timer.Instant, string, estimator.Key) bool {
	f.asked++

	return f.tokens > 0
}

func (f *fixedPacer) Hold(timer.Instant, string, estimator.Key) { f.held++ }

func (f *fixedPacer) Take(timer.Instant, string, estimator.Key) {
	f.tokens--
	f.got++
}

func (f *fixedPacer) Wait(timer.Instant, string, estimator.Key) time.Duration {
	if f.tokens > 0 {
		return 0
	}

	return 700 * time.Millisecond
}

// TestColdTargets compares which targets get attempts with the golden transcript, while
// targets are cold, become warm and turn cold again. It guards against requests to cold
// targets without a token, and against calls of the pacer for warm targets.
func TestColdTargets(t *testing.T) {
	var out bytes.Buffer
	now := timer.Instant(time.Hour)
	fleet, pacer, targets := &calmFleet{}, &fixedPacer{}, placer.NewTargets(now, "bookings", 4)
	p := newPlacer(fleet, targets, func(s *placer.Spec) { s.Pacer = pacer })
	offset := subscriber.Offset(0)
	list := func(id, warmUp string) {
		offset++
		targets.Update(now, []subscriber.Record{subscriber.NewRecord(id, []byte(warmUp), offset)})
	}
	attempt := func(title string, tried ...string) {
		*pacer = fixedPacer{tokens: pacer.tokens}
		name := "refused"
		if a, ok := p.Begin(now, placer.AttemptSpec{Service: "bookings", Route: "r", Tried: tried}); ok {
			name = a.Member().Target().Name()
			p.End(now, a, placer.Result{Outcome: estimator.OutcomeServed})
		}
		fmt.Fprintf(&out, "%s: %s; asked %d, held %d, taken %d; wait %v\n", title, name, pacer.asked, pacer.held, pacer.got, p.Wait(now, "bookings"))
	}
	list("warm", "0s")
	attempt("one warm target")
	list("cold", "5s")
	attempt("a cold target without a token")
	attempt("only the cold target is left", "warm")
	pacer.tokens = 1
	attempt("there is one token", "warm")
	attempt("the token is used", "warm")
	list("warm", "2s")
	attempt("the warm target turned cold while in use")
	pacer.tokens = 1
	attempt("there is a token again", "cold")
	now = now.Add(3 * time.Second)
	attempt("it is warm again", "cold")
	now = now.Add(3 * time.Second)
	attempt("the other one is warm too", "warm")
	goldie.New(t).Assert(t, "cold", out.Bytes())
}
