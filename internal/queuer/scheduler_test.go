package queuer_test

import (
	"context"
	"fmt"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"go.uber.org/goleak"

	"github.com/lagoonkeel/lagoonkeel/internal/queuer"
	"github.com/lagoonkeel/lagoonkeel/internal/ranker"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

func service(name string, class manifester.Class) *manifester.Service {
	return manifester.NewService(name, class, 0, []*manifester.Target{manifester.NewTarget(manifester.TargetSpec{
		Name:  "t1",
		Slots: 4,
	})})
}

func team(name string, weight float64) *manifester.Team {
	return manifester.NewTeam(name, 1, 1, weight, nil)
}

// scenario drives a scheduler and records its verdicts as a transcript.
type scenario struct {
	scheduler *queuer.Scheduler
	now       timer.Instant
	bound     int
	total     int
	tickets   []*queuer.Ticket
	names     []string
	running   []int
	out       strings.Builder
}

func newScenario(bound, total int) *scenario {
	return &scenario{
		scheduler: queuer.NewScheduler(),
		bound:     bound,
		total:     total,
	}
}

// newServiceScenario returns a scenario of one service on the platform's store.
func newServiceScenario(bound int) *scenario {
	s := newScenario(bound, math.MaxInt)
	s.scheduler = queuer.NewServiceScheduler()

	return s
}

func (s *scenario) enter(n int, class manifester.Class, t *manifester.Team, timeout time.Duration) {
	for range n {
		s.add(queuer.NewTicket(service(string(class), class), t, s.now.Add(timeout)), fmt.Sprintf("%s/%s", class, t.Name()))
	}
	s.collect()
}

// enterRanked enters requests of one service with the priorities of a team and a route.
func (s *scenario) enterRanked(n int, t *manifester.Team, priority, route int, timeout time.Duration) {
	for range n {
		k := queuer.NewTicket(service("fieldbook", ""), t, s.now.Add(timeout)).WithRank(ranker.New(priority, route))
		s.add(k, fmt.Sprintf("%d/%d/%s", priority, route, t.Name()))
	}
	s.collect()
}

func (s *scenario) add(k *queuer.Ticket, name string) {
	s.tickets = append(s.tickets, k)
	s.names = append(s.names, fmt.Sprintf("%s#%d", name, len(s.tickets)))
	s.scheduler.Enter(s.now, k, s.bound, s.total)
}

// leave ends the n requests that started first, one after each period.
func (s *scenario) leave(n int, after time.Duration) {
	for range n {
		if len(s.running) == 0 {
			return
		}
		s.now = s.now.Add(after)
		i := s.running[0]
		s.running = s.running[1:]
		fmt.Fprintf(&s.out, "%v ends %s\n", time.Duration(s.now), s.names[i])
		s.scheduler.Leave(s.now, s.tickets[i])
		s.collect()
	}
}

func (s *scenario) collect() {
	for i, k := range s.tickets {
		select {
		case v := <-k.Verdict():
			fmt.Fprintf(&s.out, "%v %s started=%v %s wait %v\n", time.Duration(s.now), s.names[i], v.Started(), v.Reason(), v.RetryAfter())
			if v.Started() {
				s.running = append(s.running, i)
			}
		default:
		}
	}
}

// TestScheduler compares the order of starts with the golden transcripts.
func TestScheduler(t *testing.T) {
	light, heavy := team("light", 1), team("heavy", 2)
	for _, c := range []struct {
		name string
		run  func() *scenario
	}{
		{"teams", func() *scenario {
			s := newScenario(1, 8)
			s.enter(6, manifester.ClassLookup, light, time.Minute)
			s.enter(6, manifester.ClassLookup, heavy, time.Minute)
			s.leave(12, 10*time.Millisecond)

			return s
		}},
		{"classes", func() *scenario {
			s := newScenario(8, 1)
			s.enter(2, manifester.ClassBrowsing, light, time.Minute)
			s.enter(2, manifester.ClassLookup, light, time.Minute)
			s.enter(20, manifester.ClassBooking, light, time.Minute)
			s.leave(24, 10*time.Millisecond)

			return s
		}},
		{"deadlines", func() *scenario {
			s := newScenario(1, 8)
			s.enter(1, manifester.ClassLookup, light, time.Minute)
			s.leave(1, 100*time.Millisecond)
			s.enter(3, manifester.ClassLookup, light, 250*time.Millisecond)
			s.enter(1, manifester.ClassLookup, heavy, 250*time.Millisecond)
			s.leave(1, 170*time.Millisecond)
			s.leave(1, 100*time.Millisecond)

			return s
		}},
		// Guards against an order other than team priority, route priority, fair between
		// teams, arrival, and against a full queue that drops important requests.
		{"ranks", func() *scenario {
			s := newServiceScenario(1)
			s.enterRanked(30, light, 2, 0, time.Minute)
			s.enterRanked(2, light, 1, 1, time.Minute)
			s.enterRanked(2, light, 1, 0, time.Minute)
			s.enterRanked(2, heavy, 1, 0, time.Minute)
			s.leave(8, 100*time.Millisecond)

			return s
		}},
		// Guards against a service that is closed because its requests take most of their
		// time, and against waits that end too late.
		{"slow", func() *scenario {
			s := newServiceScenario(2)
			s.enterRanked(2, light, 1, 0, 2500*time.Millisecond)
			s.leave(2, 2*time.Second)
			s.enterRanked(1, light, 1, 0, 2500*time.Millisecond)
			s.enterRanked(1, heavy, 1, 0, 2500*time.Millisecond)
			s.enterRanked(1, light, 1, 0, 2500*time.Millisecond)
			s.leave(2, 2*time.Second)

			return s
		}},
		// Guards against a request that is refused although its service has room: the bound
		// grew while requests waited, and these do not fill the new room.
		{"room-grew", func() *scenario {
			s := newServiceScenario(1)
			s.enterRanked(1, light, 1, 0, time.Minute)
			s.leave(1, time.Second)
			s.enterRanked(13, light, 1, 0, time.Minute)
			s.bound = 20
			s.enterRanked(1, light, 1, 0, time.Second)

			return s
		}},
		{"full", func() *scenario {
			s := newScenario(1, 8)
			s.enter(33, manifester.ClassLookup, light, time.Minute)
			s.enter(2, manifester.ClassLookup, heavy, time.Minute)
			s.enter(1, manifester.ClassLookup, light, time.Minute)
			s.leave(3, 10*time.Millisecond)

			return s
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			goldie.New(t).Assert(t, c.name, []byte(c.run().out.String()))
		})
	}
}

// bounds is a capacity of fixed numbers.
type bounds struct {
	service int
	total   int
}

func (b bounds) Service(string) int { return b.service }
func (b bounds) Total() int         { return b.total }

// TestQueuerConcurrent enters requests from many goroutines and checks that the
// service's bound holds and that every request is started or refused.
func TestQueuerConcurrent(t *testing.T) {
	defer goleak.VerifyNone(t)
	timers := timer.NewService()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- timers.Run(ctx) }()
	const bound = 4
	q := queuer.New(timers, bounds{service: bound, total: 100})
	s := service("fieldbook", manifester.ClassLookup)
	var running, most, started, refused atomic.Int64
	var all sync.WaitGroup
	for i := range 200 {
		all.Go(func() {
			k := queuer.NewTicket(s, team(fmt.Sprint(i%7), 1), timers.Now().Add(100*time.Millisecond))
			if v := q.Enter(ctx, k); !v.Started() {
				refused.Add(1)

				return
			}
			started.Add(1)
			if n := running.Add(1); n > most.Load() {
				most.Store(n)
			}
			<-timers.After(10 * time.Millisecond).Due()
			running.Add(-1)
			q.Leave(k)
		})
	}
	all.Wait()
	cancel()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if most.Load() > bound || started.Load() == 0 || refused.Load() == 0 {
		t.Errorf("%d ran at once, %d started, %d were refused; want at most %d, some and some", most.Load(), started.Load(), refused.Load(), bound)
	}
	if n := q.Waiting(); n != 0 {
		t.Errorf("%d requests still wait", n)
	}
}
