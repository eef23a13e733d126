package filterer_test

import (
	"context"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/filterer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// bothRejected is the end of a chain whose hedged attempts are both rejected.
type bothRejected struct{}

func (bothRejected) Serve(_ context.Context, x *handler.Exchange) error {
	var forks []*handler.Fork
	for _, name := range []string{"a", "b"} {
		f := x.Fork(forks...)
		forks = append(forks, f)
		f.Exchange().SetTarget(manifester.NewTarget(manifester.TargetSpec{Name: name}))
		f.Exchange().SetAttempt(rejected())
	}
	for _, f := range forks {
		x.AddEnded(f)
	}
	x.Adopt(forks[0])

	return x.Attempt().Err()
}

// TestRejectionsOfHedges checks that the rejections of both attempts of a hedged request
// count for the pressure on its service. Otherwise hedges would hide that targets reject
// requests.
func TestRejectionsOfHedges(t *testing.T) {
	now := timer.Instant(time.Hour)
	policy := newSpaced(now, false)
	f := filterer.NewSpacedRepeat(policy, noPauses{}, &promptClock{Manual: timer.NewManual(now)})
	for range 2 {
		x := newExchange(true, now)
		x.SetDeadline(now) // No time is left for a retry.
		if err := f.Handle(t.Context(), x, bothRejected{}); err == nil {
			t.Fatal("the request was served")
		}
	}
	if !policy.UnderPressure(now, "bookings") {
		t.Error("the service is not under pressure after four rejections")
	}
}
