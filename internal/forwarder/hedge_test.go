package forwarder_test

import (
	"testing"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// TestHedgeReusesConnection checks that a hedge uses an idle connection and that a retry
// does not. A new connection for each hedge would add the time to open it.
func TestHedgeReusesConnection(t *testing.T) {
	f := startTarget(t, respond(okResponse))
	tr, s := newTransport(t, 4)
	spec := attemptSpec{address: f.ln.Addr().String(), idempotent: true}
	if a := do(t.Context(), tr, s, spec); a.Fault() != handler.FaultNone {
		t.Fatal(describe(a))
	}
	x := newExchange(s, spec)
	target := x.Target()
	first := x.Fork()
	first.Exchange().SetTarget(manifester.NewTarget(manifester.TargetSpec{Name: "other"}))
	first.Exchange().SetRiskAndTrial(0, false)
	hedge := x.Fork(first).Exchange()
	hedge.SetTarget(target)
	if a := tr.Do(t.Context(), hedge); a.Fault() != handler.FaultNone || !a.Reused() {
		t.Errorf("hedge: %s reused=%v", describe(a), a.Reused())
	}
	x.SetAttempt(handler.NewFailedAttempt(target, handler.FaultReset, handler.NewUnknownOutcome(handler.CodeUpstream, "reset")))
	x.SetTarget(target)
	if a := tr.Do(t.Context(), x); a.Fault() != handler.FaultNone || a.Reused() {
		t.Errorf("retry: %s reused=%v", describe(a), a.Reused())
	}
	hedge = x.Fork(first).Exchange()
	hedge.SetTarget(target)
	if a := tr.Do(t.Context(), hedge); a.Fault() != handler.FaultNone || a.Reused() {
		t.Errorf("hedge of a retry: %s reused=%v", describe(a), a.Reused())
	}
}
