package assembler_test

import (
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/assembler"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/internal/watcher"
)

// countedLimits counts every account.
type countedLimits struct{}

func (countedLimits) Limit(tallier.Account) (tallier.Limit, bool) {
	return tallier.NewRatio(1, 0, watcher.PressureWindow), true
}

// TestNoHedgesUnderPressure checks that no request of a service is hedged whose targets
// reject many attempts: a hedge would use the retry budget that is reserved for requests of
// the highest rank.
func TestNoHedgesUnderPressure(t *testing.T) {
	now := timer.Instant(time.Hour)
	counts := tallier.New(now, countedLimits{})
	unfit := assembler.HedgeCheck(counts, true)
	if unfit(now, "bookings") {
		t.Error("hedges are refused before any rejection")
	}
	for i := range 10 {
		watcher.NewPressure(counts).AddAttempt(now, "bookings", i%2 == 0)
	}
	if !unfit(now, "bookings") {
		t.Error("hedges are allowed while half of the attempts are rejected")
	}
	if assembler.HedgeCheck(counts, false)(now, "bookings") {
		t.Error("rejections count without the setting retries.spacing")
	}
}
