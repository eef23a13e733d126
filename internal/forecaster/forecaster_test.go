package forecaster_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/forecaster"
	"github.com/lagoonkeel/lagoonkeel/internal/hedger"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/pacer"
	"github.com/lagoonkeel/lagoonkeel/internal/placer"
	"github.com/lagoonkeel/lagoonkeel/internal/quarantiner"
	"github.com/lagoonkeel/lagoonkeel/internal/queuer"
	"github.com/lagoonkeel/lagoonkeel/internal/ranker"
	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/splitter"
	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/internal/watcher"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	start  = timer.Instant(time.Hour)
	window = 10 * time.Second
	asked  = 1000
)

// quietFleet stands for the other VMs, which report nothing.
type quietFleet struct{}

func (quietFleet) ReportOutcome(estimator.Key, estimator.Outcome) {}
func (quietFleet) OpenRequests(estimator.Key) int                 { return 0 }
func (quietFleet) SuspicionChanged(estimator.SuspicionChange)     {}
func (quietFleet) VMCounts() (heard, known int)                   { return 1, 1 }
func (quietFleet) ListRead() bool                                 { return true }
func (quietFleet) Assigned(k estimator.Key) bool                  { return k%2 == 0 }
func (quietFleet) Ready() bool                                    { return true }
func (quietFleet) Closed() bool                                   { return false }
func (quietFleet) Limit(a tallier.Account) (tallier.Limit, bool) {
	switch a {
	case tallier.TeamAccount("crew"):
		return tallier.NewRate(3, 8), true
	case tallier.RetryAccount("bookings"):
		return tallier.NewRatio(0.2, 8, window), true
	case tallier.HedgeAccount("bookings"):
		return tallier.NewShare(0.3, window, 1), true
	default:
		return tallier.NewRatio(1, 0, hedger.LatencyWindow), a != tallier.TeamAccount("guests")
	}
}

// vm holds the parts of a VM, which run on a clock that the test moves.
type vm struct {
	now      timer.Instant
	manifest *manifester.Manifest
	targets  *registrar.Registrar
	tallier  *tallier.Tallier
	placer   *placer.Placer
	pacer    *pacer.Pacer
	rooms    *placer.Rooms
	queue    *queuer.Queuer
	retries  *retrier.SpacedRetrier
	hedger   *hedger.Hedger
	splitter *splitter.Splitter
	asker    *forecaster.Forecaster
}

// Now implements the clocks of the parts, and Every and After those that do not run here.
func (v *vm) Now() timer.Instant                        { return v.now }
func (v *vm) Every(d time.Duration) *timer.Subscription { return timer.NewManual(0).Every(d) }
func (v *vm) After(d time.Duration) *timer.Subscription { return timer.NewManual(0).After(d) }
func (v *vm) Manifest() *manifester.Manifest            { return v.manifest }

// newVM returns a VM with seven targets: one in another data centre, one cold, one in an
// evacuated data centre, one that is suspect, one without capacity and one that asks for
// pauses.
func newVM(t *testing.T) *vm {
	t.Helper()
	m, err := manifester.Restore(7, []*manifester.Service{manifester.NewListedService("bookings", manifester.ClassLookup, 40).WithWarmUpRate(1)},
		[]*manifester.Team{manifester.NewTeam("crew", 3, 8, 1, nil), manifester.NewTeam("guests", math.Inf(1), 1, 1, nil).WithPriority(2)},
		[]*manifester.Route{manifester.NewRoute(manifester.RouteSpec{
			Name: "lookup", Method: "*", Prefix: "/", Service: "bookings", Idempotent: true,
			Timeout: 4 * time.Second, LatencyGoal: 600 * time.Millisecond, Host: "a.example", Attempts: 2,
		})})
	if err != nil {
		t.Fatal(err)
	}
	v := &vm{
		now:      start,
		manifest: m,
		targets: registrar.New(func(id string, value []byte) (*registrar.Entry, error) {
			spec := registrar.EntrySpec{Target: manifester.TargetSpec{Name: id, Address: "10.0.0.1:80", Slots: 4, DataCentre: string(value)}, Service: "bookings"}
			if id == "cold" {
				spec.WarmUp = time.Hour
			}

			return registrar.NewEntry(spec), nil
		}, logger.Discard()),
		tallier:  tallier.New(start, quietFleet{}),
		splitter: splitter.New(),
	}
	for i, name := range []string{"cold/kandy", "evacuated/matara", "far/galle", "full/kandy", "near/kandy", "paused/kandy", "suspect/kandy"} {
		id, dataCentre, _ := strings.Cut(name, "/")
		v.targets.Update(start, []subscriber.Record{subscriber.NewRecord(id, []byte(dataCentre), subscriber.Offset(i))})
	}
	v.tallier.SetVMCounts(2, 2)
	v.targets.Evacuate(start, []string{"matara"}, nil)
	risks := estimator.New(quietFleet{})
	v.pacer = pacer.New(pacer.Spec{Self: "a", Fleet: quietFleet{}, Rate: func(string) float64 { return 1 }, Clock: v})
	v.placer = placer.New(placer.Spec{
		DataCentre: "kandy", Targets: v.targets, Risks: risks, Observer: risks, Reporter: quietFleet{}, Leaving: v.targets,
		RemoteLoad: quietFleet{}, Assignment: quietFleet{}, Pacer: v.pacer, Clock: v, Degraded: watcher.New(v.tallier).Degraded,
		Random: rand.New(rand.NewPCG(5, 6)).Float64,
	})
	v.rooms = placer.NewRooms(placer.RoomSpec{Placer: v.placer, Fleet: quietFleet{}, Clock: v})
	v.queue = queuer.NewByService(v, queuer.NewServiceCapacity(v.rooms))
	v.rooms.SetQueue(v.queue)
	v.retries = retrier.NewSpacedRetrier(v.tallier, watcher.NewPressure(v.tallier), window, func() float64 { return 0 })
	v.hedger = hedger.New(v.tallier, watcher.New(v.tallier).Degraded)
	v.asker = forecaster.New(forecaster.Spec{
		Manifests: v, Readiness: quietFleet{}, Closer: quietFleet{}, Splitter: v.splitter,
		Quarantine: quarantiner.New(v, nil, logger.Discard()), Limits: v.tallier, Queue: v.queue, Rooms: v.rooms,
		Targets: v.placer, Registry: v.targets, Retries: v.retries, Hedges: v.hedger, TimeoutField: "Timeout", Clock: v,
	})
	for _, m := range v.targets.Members("bookings") {
		switch m.Target().Name() {
		case "suspect":
			for range 3 {
				risks.Observe(v.now, m.Key(), estimator.OutcomeFailed)
			}
		case "full":
			v.placer.NoteFull(v.now, m.Key())
		case "far", "near":
			risks.Observe(v.now, m.Key(), estimator.OutcomeServed)
		}
	}

	return v
}

func (v *vm) ask(t *testing.T) *forecaster.Forecast {
	t.Helper()

	return v.asker.Forecast(t.Context(), forecaster.Request{Method: "GET", Host: "a.example", Path: "/x", Team: "crew"})
}

func (v *vm) spec() placer.AttemptSpec {
	return placer.AttemptSpec{Service: "bookings", Route: "lookup", LatencyGoal: 600 * time.Millisecond, Repeatable: true}
}

// serve makes one decision of every part as a request does, and returns the results.
func (v *vm) serve(t *testing.T, i int) string {
	t.Helper()
	v.tallier.AddRemote(v.now, tallier.TeamAccount("crew"), 1, 0) // So that the share depends on the demand.
	out := []any{i, v.tallier.Acquire(v.now, tallier.TeamAccount("crew"))}
	service, _ := v.manifest.Service("bookings")
	ticket := queuer.NewTicket(service, nil, v.now.Add(4*time.Second))
	out = append(out, v.queue.Enter(t.Context(), ticket).Started())
	v.retries.Begin(v.now, "bookings")
	v.retries.NoteRank(v.now, "bookings", ranker.New(1, i%3))
	v.hedger.Begin(v.now, "bookings")
	request := hedger.Request{Service: "bookings", Route: "lookup", Deadline: v.now.Add(4 * time.Second), Idempotent: true, Attempts: 1, MayHaveRun: 1, Limit: 2}
	delay, may := v.hedger.Delay(v.now, request)
	out = append(out, delay, may)
	if a, ok := v.placer.Begin(v.now, v.spec()); ok {
		out = append(out, a.Member().Target().Name(), a.Trial())
		v.now = v.now.Add(40 * time.Millisecond)
		result := placer.Result{Outcome: estimator.OutcomeServed}
		if a.Member().Target().Name() == "paused" {
			result = placer.Result{Pause: 700 * time.Millisecond}
		}
		v.placer.End(v.now, a, result)
		v.hedger.Record(v.now, "lookup", 40*time.Millisecond)
	}
	out = append(out, v.hedger.Allow(v.now, request), v.tallier.Use(v.now, tallier.RetryAccount("bookings")).Granted())
	v.queue.Leave(ticket)
	if i%5 == 0 {
		counts := v.tallier.StartRound(v.now)
		slices.SortFunc(counts, func(a, b tallier.Count) int { return cmp.Compare(a.Account(), b.Account()) })
		out = append(out, counts)
		v.rooms.Compute(v.now)
	}

	return fmt.Sprint(out...)
}

// counters returns the counters of the parts.
func (v *vm) counters() string {
	var lines []string
	for _, each := range []func(func(string, metrics.Counter)){v.placer.Each, v.pacer.Each, v.queue.Each, v.retries.Each, v.hedger.Each} {
		each(func(name string, c metrics.Counter) { lines = append(lines, fmt.Sprint(name, "=", c.Count())) })
	}
	v.placer.OpenAttempts(func(k estimator.Key, open int) { lines = append(lines, fmt.Sprint(k, "=", open)) })
	slices.Sort(lines)

	return strings.Join(lines, "\n")
}

// TestAskingChangesNothing serves the same requests on two VMs, one of which is asked a
// thousand times in between. It guards against a question that opens an attempt, takes a
// token, moves a limit or a position, or begins to count a name.
func TestAskingChangesNothing(t *testing.T) {
	quiet, curious := newVM(t), newVM(t)
	for i := range asked / 4 {
		before := curious.counters()
		for range 4 {
			curious.ask(t)
		}
		if after := curious.counters(); after != before {
			t.Fatalf("question %d changed the counters:\n%s\nto\n%s", i, before, after)
		}
		if a, b := quiet.serve(t, i), curious.serve(t, i); a != b {
			t.Fatalf("request %d: %s without the questions, %s with them", i, a, b)
		}
	}
	if a, b := quiet.counters(), curious.counters(); a != b {
		t.Errorf("counters without the questions:\n%s\nwith them:\n%s", a, b)
	}
}

// TestAskingCreatesNothing guards against a question that begins the account of a limit, the
// latency of a route, the room of a service or its queue.
func TestAskingCreatesNothing(t *testing.T) {
	v := newVM(t)
	state := func() string { return fmt.Sprintf("%+v\n%+v\n%+v\n%+v", v.tallier, v.placer, v.rooms, v.queue) }
	before := state()
	for range asked {
		v.ask(t)
	}
	if after := state(); after != before {
		t.Errorf("the parts were\n%s\nand are\n%s", before, after)
	}
}

// TestProbabilities compares the probabilities of a forecast with the frequencies of a
// thousand choices. It guards against a forecast that leaves out what a choice weighs. Each
// frequency must be within five standard deviations of the probability; the seed is fixed.
func TestProbabilities(t *testing.T) {
	const deviations = 5
	v := newVM(t)
	options := v.ask(t).Targets().Options()
	chosen := map[string]int{}
	for range asked {
		a, ok := v.placer.Begin(v.now, v.spec())
		if !ok {
			t.Fatal("no target was chosen")
		}
		chosen[a.Member().Target().Name()]++
		v.placer.End(v.now, a, placer.Result{})
	}
	total := 0.0
	for _, o := range options {
		p, name := o.Probability(), o.Member().Target().Name()
		total += p
		if diff := math.Abs(float64(chosen[name])/asked - p); diff > deviations*math.Sqrt(p*(1-p)/asked) {
			t.Errorf("%s: chosen %d times of %d, forecast %.4f", name, chosen[name], asked, p)
		}
		delete(chosen, name)
	}
	if math.Abs(total-1) > 1e-9 || len(chosen) > 0 || len(options) < 3 {
		t.Errorf("%d options with a total of %v, others chosen: %v", len(options), total, chosen)
	}
}
