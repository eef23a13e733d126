package filterer_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/filterer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// scriptedAttempts is the end of a chain. It returns the given attempts in order,
// and refuses once there are none left.
type scriptedAttempts struct {
	attempts []*handler.Attempt
	used     int
}

func (s *scriptedAttempts) Serve(_ context.Context, x *handler.Exchange) error {
	if s.used == len(s.attempts) {
		return handler.NewRefusal(handler.CodeNoTarget, "no target is left")
	}
	a := *s.attempts[s.used]
	s.used++
	x.SetAttempt(&a)

	return a.Err()
}

func result(x *handler.Exchange, err error) string {
	if err == nil {
		return fmt.Sprintf("answer %d", x.Response().Status())
	}
	var r *handler.Refusal
	if !errors.As(err, &r) {
		return err.Error()
	}

	return fmt.Sprintf("%s %s", r.Outcome(), r.Code())
}

func newExchange(idempotent bool, now timer.Instant) *handler.Exchange {
	x := handler.NewExchange(handler.NewRequest("POST", "/book", "", []byte("seat")), now)
	x.SetRoute(manifester.NewRoute(manifester.RouteSpec{Name: "book", Idempotent: idempotent}),
		manifester.NewService("bookings", manifester.ClassBooking, 0, nil))
	x.SetTeam(manifester.NewTeam("guides", 1, 1, 1, nil), "digest")
	x.SetDeadline(now.Add(time.Second))

	return x
}

// TestRetry compares the results of sequences of attempts with the golden file.
func TestRetry(t *testing.T) {
	ok := handler.NewCompletedAttempt(nil, handler.NewResponse(200, nil))
	failed := handler.NewCompletedAttempt(nil, handler.NewResponse(500, nil))
	refused := handler.NewFailedAttempt(nil, handler.FaultConnect, handler.NewRefusal(handler.CodeConnect, "refused"))
	shed := handler.NewFailedAttempt(nil, handler.FaultShed, handler.NewRefusal(handler.CodeShed, "shed"))
	reset := handler.NewFailedAttempt(nil, handler.FaultReset, handler.NewUnknownOutcome(handler.CodeUpstream, "reset"))
	var out bytes.Buffer
	for _, c := range []struct {
		name     string
		attempts []*handler.Attempt
	}{
		{"ok", []*handler.Attempt{ok}},
		{"reset, ok", []*handler.Attempt{reset, ok}},
		{"reset, refused, refused", []*handler.Attempt{reset, refused, refused}},
		{"reset, then no target", []*handler.Attempt{reset}},
		{"refused, shed, ok", []*handler.Attempt{refused, shed, ok}},
		{"refused, shed, then no target", []*handler.Attempt{refused, shed}},
		{"refused, reset, ok", []*handler.Attempt{refused, reset, ok}},
		{"500, reset, shed", []*handler.Attempt{failed, reset, shed}},
		{"shed, shed, shed, ok", []*handler.Attempt{shed, shed, shed, ok}},
		{"no target at all", nil},
	} {
		for _, idempotent := range []bool{true, false} {
			clock := timer.NewManual(0)
			x := newExchange(idempotent, clock.Now())
			s := &scriptedAttempts{attempts: c.attempts}
			err := filterer.NewRetry(retrier.New(), clock).Handle(context.Background(), x, s)
			fmt.Fprintf(&out, "%s idempotent=%v: %s after %d attempts\n", c.name, idempotent, result(x, err), s.used)
		}
	}
	goldie.New(t).Assert(t, "retry", out.Bytes())
}
