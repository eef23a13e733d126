package queuer_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/queuer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	teamCount    = 8
	serviceBound = 8
	// meanRunTime is the mean of the exponentially distributed running times.
	meanRunTime    = 5 * time.Millisecond
	requestTimeout = 250 * time.Millisecond
	simulatedTime  = 30 * time.Second
)

// teamResult counts the requests of one team by their outcome.
type teamResult struct {
	offered  int
	answered int
	refused  int
	waits    []time.Duration
}

// queueResult is the measurement of one kind of queue.
type queueResult struct {
	Queue string `json:"queue"`
	// WorstPercent is the lowest percentage of answered requests among the teams
	// that stay within their share.
	WorstPercent float64 `json:"worstServedPercent"`
	// RefusedWithin counts the refused requests of the teams that stay within
	// their share.
	RefusedWithin        int     `json:"refusedWithin"`
	RefusedWithinPercent float64 `json:"refusedWithinPercent"`
	WaitP99Micros        int64   `json:"waitP99MicrosWithin"`
	HeavyPercent         float64 `json:"heavyAnsweredPercent"`
	Answered             int     `json:"answered"`
}

// simulation is a queue in front of one service, as a discrete-event simulation.
type simulation struct {
	now       timer.Instant
	random    *rand.Rand
	scheduler *queuer.Scheduler
	fair      bool
	events    eventHeap
	service   *manifester.Service
	teams     []*manifester.Team
	results   []teamResult
	waiting   []waitingTicket
}

type waitingTicket struct {
	ticket  *queuer.Ticket
	team    int
	arrived timer.Instant
}

type event struct {
	at timer.Instant
	do func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) {
	if e, ok := x.(event); ok {
		*h = append(*h, e)
	}
}

func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]

	return last
}

func newSimulation(fair bool) *simulation {
	s := &simulation{
		random:    rand.New(rand.NewPCG(11, 1)),
		scheduler: queuer.NewScheduler(),
		fair:      fair,
		service:   service("fieldbook", manifester.ClassLookup),
		results:   make([]teamResult, teamCount),
	}
	for i := range teamCount {
		s.teams = append(s.teams, team(fmt.Sprintf("team-%d", i), 1))
	}

	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.events, event{
		at: s.now.Add(d),
		do: do,
	})
}

// arrivals schedules a team's requests at the rate per second.
func (s *simulation) arrivals(i int, rate float64) {
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		s.arrive(i)
		s.arrivals(i, rate)
	})
}

func (s *simulation) arrive(i int) {
	s.results[i].offered++
	t := s.teams[i]
	if !s.fair {
		t = nil // All requests are in one flow, in the order of arrival.
	}
	k := queuer.NewTicket(s.service, t, s.now.Add(requestTimeout))
	s.waiting = append(s.waiting, waitingTicket{
		ticket:  k,
		team:    i,
		arrived: s.now,
	})
	s.scheduler.Enter(s.now, k, serviceBound, 512)
	s.after(s.scheduler.LatestStart(k).Sub(s.now), func() {
		s.scheduler.Cancel(k, queuer.ReasonLate)
		s.collect()
	})
	s.collect()
}

func (s *simulation) collect() {
	pending := s.waiting[:0]
	for _, w := range s.waiting {
		select {
		case v := <-w.ticket.Verdict():
			s.settle(w, v)
		default:
			pending = append(pending, w)
		}
	}
	s.waiting = pending
}

func (s *simulation) settle(w waitingTicket, v queuer.Verdict) {
	r := &s.results[w.team]
	if !v.Started() {
		r.refused++

		return
	}
	r.answered++
	r.waits = append(r.waits, s.now.Sub(w.arrived))
	s.after(time.Duration(s.random.ExpFloat64()*float64(meanRunTime)), func() {
		s.scheduler.Leave(s.now, w.ticket)
		s.collect()
	})
}

func (s *simulation) run() queueResult {
	share := float64(serviceBound) / meanRunTime.Seconds() / teamCount
	s.arrivals(0, 10*share)
	for i := 1; i < teamCount; i++ {
		s.arrivals(i, 0.8*share)
	}
	for s.events.Len() > 0 && s.events[0].at < timer.Instant(simulatedTime) {
		e, ok := heap.Pop(&s.events).(event)
		if !ok {
			break
		}
		s.now = e.at
		e.do()
	}

	return s.result()
}

func (s *simulation) result() queueResult {
	r := queueResult{
		Queue:        "fair",
		WorstPercent: 100,
		HeavyPercent: percent(s.results[0].answered, s.results[0].offered),
		Answered:     s.results[0].answered,
	}
	if !s.fair {
		r.Queue = "first in, first out"
	}
	var waits []time.Duration
	offered := 0
	for _, t := range s.results[1:] {
		r.WorstPercent = min(r.WorstPercent, percent(t.answered, t.offered))
		r.RefusedWithin += t.refused
		r.Answered += t.answered
		offered += t.offered
		waits = append(waits, t.waits...)
	}
	r.RefusedWithinPercent = percent(r.RefusedWithin, offered)
	slices.Sort(waits)
	if len(waits) > 0 {
		r.WaitP99Micros = waits[len(waits)*99/100].Microseconds()
	}

	return r
}

func percent(part, whole int) float64 {
	return 100 * float64(part) / float64(max(1, whole))
}

// BenchmarkMeasureQueue prints how teams at 80% of their share are served while
// one team offers ten times its share.
func BenchmarkMeasureQueue(b *testing.B) {
	for range b.N {
		for _, fair := range []bool{true, false} {
			text, err := json.Marshal(newSimulation(fair).run())
			if err != nil {
				b.Fatal(err)
			}
			fmt.Println(string(text))
		}
	}
}
