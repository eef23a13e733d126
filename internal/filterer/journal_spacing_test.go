package filterer_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/filterer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// TestJournalOfSpacedRetries checks that the log line of a request tells why and for how
// long its retry waited, and has neither attribute where the service is not under pressure.
func TestJournalOfSpacedRetries(t *testing.T) {
	target := manifester.NewTarget(manifester.TargetSpec{Name: "i-1"})
	for _, pressed := range []bool{true, false} {
		clock := &promptClock{Manual: timer.NewManual(timer.Instant(time.Hour))}
		x := newExchange(true, clock.Now())
		refusal := handler.NewRefusal(handler.CodeShed, "shed")
		s := &scriptedAttempts{attempts: []*handler.Attempt{
			handler.NewFailedAttempt(target, handler.FaultShed, refusal),
			handler.NewCompletedAttempt(target, handler.NewResponse(200, nil)),
		}}
		var out bytes.Buffer
		chain := handler.NewChain(
			filterer.NewJournal(logger.New(&out, logger.FormatLogfmt, "vm-1"), "Id", clock),
			filterer.NewSpacedRepeat(newSpaced(clock.Now(), pressed), noPauses{}, clock),
			&last{next: s},
		)
		if err := chain.Serve(context.Background(), x); err != nil {
			t.Fatal(err)
		}
		const want = `retryDelayMs=120 retryBasis="rejected=11 attempts=11 rank=0/0 highest=0/0"`
		if got := out.String(); strings.Contains(got, want) != pressed || strings.Contains(got, "retryDelay") != pressed {
			t.Errorf("pressure %v: the line is %s", pressed, got)
		}
	}
}

// last is the last filter of a chain.
type last struct {
	next handler.Handler
}

// Name returns the filter's name.
func (*last) Name() string { return "last" }

// Handle passes the exchange on.
func (l *last) Handle(ctx context.Context, x *handler.Exchange, _ handler.Handler) error {
	return l.next.Serve(ctx, x)
}
