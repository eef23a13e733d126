package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/forwarder"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/reserver"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// TestOvertaken checks that an attempt that another one overtook ends at once, closes its
// connection, so that the target stops, is no failure of the target and leaves the idle
// connections to it open.
func TestOvertaken(t *testing.T) {
	both, began, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	f := startTarget(t, func(c net.Conn, n int64, r *http.Request) {
		switch n {
		case 1:
			<-both
		case 2:
			close(both)
		case 3:
			close(began)
			var b [1]byte
			_, _ = c.Read(b[:])
			close(ended)

			return
		}
		respond(okResponse)(c, n, r)
	})
	tr, s := newTransport(t, 4)
	spec := attemptSpec{address: f.address, idempotent: true}
	other := make(chan *handler.Attempt)
	go func() { other <- do(t.Context(), tr, s, spec) }()
	for _, a := range []*handler.Attempt{do(t.Context(), tr, s, spec), <-other} {
		if a.Fault() != handler.FaultNone {
			t.Fatal(describe(a))
		}
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	go func() {
		<-began
		cancel(handler.ErrOvertaken)
	}()
	start := time.Now()
	if got, want := describe(do(ctx, tr, s, spec)), "fault=canceled outcome=unknown code=timeout"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	<-ended
	if took := time.Since(start); took > 500*time.Millisecond {
		t.Errorf("the target was told to stop after %v", took)
	}
	if a := do(t.Context(), tr, s, spec); a.Fault() != handler.FaultNone || !a.Reused() || f.opened.Load() != 2 {
		t.Errorf("%s, reused=%v, %d connections opened; want the idle one to be kept", describe(a), a.Reused(), f.opened.Load())
	}
}

// TestOvertakenWhileConnecting checks that an attempt that another one overtook while its
// connection was opened is no failure of the target: otherwise hedges would make a working
// target suspect.
func TestOvertakenWhileConnecting(t *testing.T) {
	f := startTarget(t, respond(okResponse))
	ctx, cancel := context.WithCancelCause(t.Context())
	s := timer.NewService()
	tr := forwarder.NewTransport(s, handler.DefaultDialect(), reserver.New(testMemory), func(*manifester.Target) int {
		cancel(handler.ErrOvertaken) // The limit is read before a connection is opened.

		return 4
	})
	spec := attemptSpec{address: f.address, idempotent: true}
	if got, want := describe(do(ctx, tr, s, spec)), "fault=canceled outcome=not-run code=timeout"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// TestHedgeReusesConnection checks that a hedge uses an idle connection and that a retry
// does not. A new connection for each hedge would add the time to open it.
func TestHedgeReusesConnection(t *testing.T) {
	f := startTarget(t, respond(okResponse))
	tr, s := newTransport(t, 4)
	spec := attemptSpec{address: f.address, idempotent: true}
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
