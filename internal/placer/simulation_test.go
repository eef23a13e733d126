package placer_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/placer"
	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// calmFleet stands for the other VMs, which report nothing. It records what the placer
// reports to them.
type calmFleet struct {
	reported []estimator.Outcome
}

func (f *calmFleet) ReportOutcome(_ estimator.Key, o estimator.Outcome) {
	f.reported = append(f.reported, o)
}

func (f *calmFleet) OpenRequests(estimator.Key) int { return 0 }

func (f *calmFleet) SuspicionChanged(estimator.SuspicionChange) {}

// newPlacer returns a placer of the targets with the changes to its specification.
func newPlacer(fleet *calmFleet, targets *registrar.Registrar, changes ...func(s *placer.Spec)) *placer.Placer {
	risks := estimator.New(fleet)
	s := placer.Spec{
		Targets:    targets,
		Risks:      risks,
		Observer:   risks,
		Reporter:   fleet,
		Leaving:    targets,
		RemoteLoad: fleet,
		Clock:      timer.NewService(),
		Degraded:   func(timer.Instant, string) bool { return false },
	}
	for _, change := range changes {
		change(&s)
	}

	return placer.New(s)
}

// event is a step of a simulation. Of the steps due at once, the one with the lowest number
// runs first.
type event struct {
	at     timer.Instant
	number int
	do     func()
}

type events []event

func (h events) Len() int      { return len(h) }
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}
func (h *events) Push(x any) { *h = append(*h, x.(event)) } //nolint:forcetypeassert // It holds nothing else.
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]

	return last
}

// simulation runs events in the order of their instants.
type simulation struct {
	now    timer.Instant
	events events
	// scheduled counts the steps.
	scheduled int
	random    *rand.Rand
}

func (s *simulation) Now() timer.Instant                      { return s.now }
func (s *simulation) Every(time.Duration) *timer.Subscription { return nil }

func (s *simulation) after(d time.Duration, do func()) {
	s.scheduled++
	heap.Push(&s.events, event{at: s.now.Add(d), number: s.scheduled, do: do})
}

// runUntil runs the steps before the end.
func (s *simulation) runUntil(end timer.Instant) {
	for len(s.events) > 0 && s.events[0].at < end {
		e, _ := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}
