package filterer_test

import (
	"context"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/filterer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/placer"
	"github.com/lagoonkeel/lagoonkeel/internal/recoverer"
	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// countingPlacer counts the attempts that have begun and ended.
type countingPlacer struct {
	*placer.Placer

	begun, ended int
}

func (c *countingPlacer) Begin(now timer.Instant, s placer.AttemptSpec) (*placer.Attempt, bool) {
	c.begun++

	return c.Placer.Begin(now, s)
}

func (c *countingPlacer) End(now timer.Instant, a *placer.Attempt, r placer.Result) {
	c.ended++
	c.Placer.End(now, a, r)
}

func (*countingPlacer) Attempted(string, time.Duration) {}

// oneTarget lists a single target of every service.
type oneTarget struct {
	members []*registrar.Member
}

func (o *oneTarget) Members(string) []*registrar.Member { return o.members }

func (*oneTarget) Evacuated(string) []string { return nil }

// panicking is the end of a chain that panics.
type panicking struct{}

func (panicking) Serve(context.Context, *handler.Exchange) error { panic("a fault in the code") }

// TestPlaceEndsAfterPanic checks that an attempt is ended although the rest of the chain
// panics: it would count as open for good, and its target as loaded.
func TestPlaceEndsAfterPanic(t *testing.T) {
	clock := timer.NewManual(timer.Instant(time.Hour))
	p := &countingPlacer{
		Placer: newPlacer(clock, &oneTarget{members: listedTargets(clock.Now(), "a")}),
	}
	x := handler.NewExchange(handler.NewRequest("GET", "/", "", nil), clock.Now())
	service := manifester.NewListedService("bookings", manifester.ClassLookup, 1)
	x.SetRoute(manifester.NewRoute(manifester.RouteSpec{Name: "r"}), service)
	err := recoverer.Do(func() error {
		return filterer.NewPlace(p, p, clock).Handle(t.Context(), x, panicking{})
	})
	if err == nil || p.begun != 1 || p.ended != 1 {
		t.Errorf("%d attempts begun, %d ended, error %v; want one of each and the panic", p.begun, p.ended, err)
	}
	open := 0
	p.OpenAttempts(func(_ estimator.Key, n int) { open += n })
	if open != 0 {
		t.Errorf("%d attempts are open", open)
	}
}

// quietFleet stands for the other VMs, which report nothing.
type quietFleet struct{}

func (quietFleet) ReportOutcome(estimator.Key, estimator.Outcome) {}

func (quietFleet) OpenRequests(estimator.Key) int { return 0 }

func (quietFleet) SuspicionChanged(estimator.SuspicionChange) {}

func newPlacer(clock *timer.Manual, targets *oneTarget) *placer.Placer {
	risks := estimator.New(quietFleet{})

	return placer.New(placer.Spec{
		Targets:    targets,
		Risks:      risks,
		Observer:   risks,
		Reporter:   quietFleet{},
		RemoteLoad: quietFleet{},
		Clock:      clock,
		Degraded:   func(timer.Instant, string) bool { return false },
	})
}

// listedTargets returns targets of the service bookings.
func listedTargets(now timer.Instant, ids ...string) []*registrar.Member {
	r := registrar.New(func(id string, _ []byte) (*registrar.Entry, error) {
		return registrar.NewEntry(registrar.EntrySpec{
			Target:  manifester.TargetSpec{Name: id, Address: "10.0.0.1:80", Slots: 1},
			Service: "bookings",
		}), nil
	}, logger.Discard())
	for i, id := range ids {
		r.Update(now, []subscriber.Record{subscriber.NewRecord(id, []byte("-"), subscriber.Offset(i))})
	}

	return r.Members("bookings")
}
