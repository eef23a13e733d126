package filterer_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/filterer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/hedger"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/quarantiner"
	"github.com/lagoonkeel/lagoonkeel/internal/reserver"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	hedgeDelay = 80 * time.Millisecond
	// bodyBytes and responseBytes are the memory that a request and a response hold.
	bodyBytes     = 100
	responseBytes = 1000
)

// fixedPolicy allows hedges after a fixed delay.
type fixedPolicy struct {
	refuse                    bool
	asked                     hedger.Request
	won, canceled, recordings int
}

func (*fixedPolicy) Begin(timer.Instant, string) {}

func (*fixedPolicy) Delay(timer.Instant, hedger.Request) (time.Duration, bool) {
	return hedgeDelay, true
}

func (p *fixedPolicy) Allow(_ timer.Instant, r hedger.Request) bool {
	p.asked = r

	return !p.refuse
}

func (p *fixedPolicy) Record(timer.Instant, string, time.Duration) { p.recordings++ }

func (p *fixedPolicy) AddWin() { p.won++ }

func (p *fixedPolicy) AddCanceled() { p.canceled++ }

// suspicion suspects every request or none.
type suspicion bool

func (s suspicion) Empty() bool { return !bool(s) }

func (s suspicion) Suspected(quarantiner.Fingerprint) bool { return bool(s) }

// signalingClock signals when a subscription exists, so that advancing the time ends it.
type signalingClock struct {
	*timer.Manual
	subscribed chan struct{}
}

func newSignalingClock() *signalingClock {
	return &signalingClock{
		Manual:     timer.NewManual(timer.Instant(time.Hour)),
		subscribed: make(chan struct{}, 1),
	}
}

func (c *signalingClock) After(d time.Duration) *timer.Subscription {
	defer func() { c.subscribed <- struct{}{} }()

	return c.Manual.After(d)
}

// panickingStatus makes an attempt panic instead of returning a response.
const panickingStatus = -1

// scriptedTargets runs attempts that end when the test says so. An attempt that is canceled
// ends when the test allows it.
type scriptedTargets struct {
	memory  *reserver.Reserver
	count   atomic.Int32
	began   chan int
	answer  [2]chan int
	unwound [2]chan struct{}
	ended   [2]chan error
	// left is closed once the filter has the result of the attempt; set when it began.
	left [2]<-chan struct{}
}

func newScriptedTargets(memory *reserver.Reserver) *scriptedTargets {
	s := &scriptedTargets{
		memory: memory,
		began:  make(chan int, 2),
	}
	for i := range 2 {
		s.answer[i] = make(chan int, 1)
		s.unwound[i] = make(chan struct{})
		s.ended[i] = make(chan error, 1)
	}

	return s
}

// Serve runs one attempt. It changes the fields of its request, as filters do.
func (s *scriptedTargets) Serve(ctx context.Context, x *handler.Exchange) error {
	i := int(s.count.Add(1)) - 1
	target := manifester.NewTarget(manifester.TargetSpec{Name: string(rune('a' + i))})
	x.SetTarget(target)
	x.SetRiskAndTrial(0, false)
	x.Request().Fields().Remove("Removed")
	x.Request().Fields().Set("Traceparent", target.Name())
	s.left[i] = ctx.Done()
	s.began <- i
	select {
	case status := <-s.answer[i]:
		if status == panickingStatus {
			panic("a fault in the code")
		}
		if status == 0 {
			x.SetAttempt(handler.NewFailedAttempt(target, handler.FaultReset, handler.NewUnknownOutcome(handler.CodeUpstream, "the connection failed")))

			return x.Attempt().Err()
		}
		s.memory.Acquire(0, responseBytes)
		x.Hold(responseBytes)
		x.SetAttempt(handler.NewCompletedAttempt(target, handler.NewResponse(status, nil)))

		return nil
	case <-ctx.Done():
		s.ended[i] <- context.Cause(ctx)
		<-s.unwound[i]
		s.memory.Acquire(0, responseBytes)
		x.Hold(responseBytes) // A part of the response had been read.
		x.SetAttempt(handler.NewFailedAttempt(target, handler.FaultCanceled, handler.NewUnknownOutcome(handler.CodeTimeout, "canceled")))

		return x.Attempt().Err()
	}
}

// hedgedRequest is a request on its way through the filter.
type hedgedRequest struct {
	*scriptedTargets
	t        *testing.T
	clock    *signalingClock
	policy   *fixedPolicy
	memory   *reserver.Reserver
	exchange *handler.Exchange
	log      *bytes.Buffer
	result   chan error
	cancel   context.CancelFunc
}

func newHedgedRequest(t *testing.T, p *fixedPolicy, s suspicion, memory int64) *hedgedRequest {
	t.Helper()
	r := &hedgedRequest{
		t:      t,
		clock:  newSignalingClock(),
		policy: p,
		memory: reserver.New(memory),
		log:    &bytes.Buffer{},
		result: make(chan error, 1),
	}
	r.scriptedTargets = newScriptedTargets(r.memory)
	request := handler.NewRequest("GET", "/seats", "", make([]byte, bodyBytes))
	request.Fields().Add("Removed", "1")
	r.exchange = handler.NewExchange(request, r.clock.Now())
	r.memory.Acquire(0, bodyBytes)
	r.exchange.Hold(bodyBytes)
	r.exchange.SetRoute(manifester.NewRoute(manifester.RouteSpec{Name: "r", Idempotent: true}),
		manifester.NewListedService("bookings", manifester.ClassLookup, 1))
	ctx, cancel := context.WithCancel(t.Context())
	r.cancel = cancel
	f := filterer.NewHedge(p, s, r.memory, r.clock, logger.New(r.log, logger.FormatLogfmt, "vm-1"))
	go func() { r.result <- f.Handle(ctx, r.exchange, r.scriptedTargets) }()
	<-r.clock.subscribed
	<-r.began

	return r
}

// hedge lets the delay pass and waits until the hedge has begun.
func (r *hedgedRequest) hedge() {
	r.clock.Advance(hedgeDelay)
	<-r.began
}

// end ends an attempt and waits until the filter has its result.
func (r *hedgedRequest) end(i, status int) {
	r.answer[i] <- status
	<-r.left[i]
}

// unwind lets a canceled attempt end and waits until its memory has been released.
func (r *hedgedRequest) unwind(i int) {
	close(r.unwound[i])
	for deadline := time.Now().Add(10 * time.Second); r.memory.Reserved() != r.exchange.Held(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			r.t.Fatalf("%d bytes are reserved, the exchange holds %d", r.memory.Reserved(), r.exchange.Held())
		}
	}
}

// describe waits for the result and describes it.
func (r *hedgedRequest) describe(out *bytes.Buffer) {
	err := <-r.result
	x := r.exchange
	var history []string
	for _, h := range x.History() {
		text := fmt.Sprintf("%s:%s:%d", h.Attempt().Target().Name(), h.Attempt().Fault(), h.Attempt().Status())
		if h.Hedge() {
			text += ":hedge"
		}
		history = append(history, text)
	}
	status := 0
	if x.Response() != nil {
		status = x.Response().Status()
	}
	message, _, _ := strings.Cut(fmt.Sprint(err), "; report it")
	fmt.Fprintf(out, "  result: status %d, error %v\n", status, message)
	fmt.Fprintf(out, "  attempts %v, tried %v, held %d, fields %v\n", history, x.Tried(), x.Held(), x.Request().Fields().All())
	fmt.Fprintf(out, "  won %d, canceled %d, latencies recorded %d, panics logged %d\n",
		r.policy.won, r.policy.canceled, r.policy.recordings, strings.Count(r.log.String(), "name=panicked"))
}

// TestHedge compares with the golden file how a request ends whose attempts end in every
// order. In each case the memory of both attempts is released once, also where one ends
// after the request.
func TestHedge(t *testing.T) {
	var out bytes.Buffer
	for _, c := range []struct {
		name string
		play func(r *hedgedRequest)
		// late is the attempt that ends after the request, or -1.
		late int
	}{
		{"the first attempt ends before the delay", func(r *hedgedRequest) { r.answer[0] <- 200 }, -1},
		{"the hedge is faster; the first attempt ends late", func(r *hedgedRequest) { r.hedge(); r.answer[1] <- 200 }, 0},
		{"the first attempt is faster; the hedge ends late", func(r *hedgedRequest) { r.hedge(); r.answer[0] <- 200 }, 1},
		{"the first attempt fails while the hedge runs", func(r *hedgedRequest) { r.hedge(); r.end(0, 0); r.answer[1] <- 200 }, -1},
		{"the first attempt gets 500 while the hedge runs", func(r *hedgedRequest) { r.hedge(); r.end(0, 500); r.answer[1] <- 200 }, -1},
		{"the hedge fails while the first attempt runs", func(r *hedgedRequest) { r.hedge(); r.end(1, 0); r.answer[0] <- 200 }, -1},
		{"both fail, the hedge first", func(r *hedgedRequest) { r.hedge(); r.end(1, 500); r.answer[0] <- 0 }, -1},
		{"both fail, the first attempt first", func(r *hedgedRequest) { r.hedge(); r.end(0, 503); r.answer[1] <- 0 }, -1},
		{"the hedge panics", func(r *hedgedRequest) { r.hedge(); r.end(1, panickingStatus); r.answer[0] <- 200 }, -1},
		{"the first attempt panics, the hedge is served", func(r *hedgedRequest) { r.hedge(); r.end(0, panickingStatus); r.answer[1] <- 200 }, -1},
		{"the first attempt panics before the delay", func(r *hedgedRequest) { r.answer[0] <- panickingStatus }, -1},
		{"the caller leaves while both run", func(r *hedgedRequest) { r.hedge(); r.cancel(); close(r.unwound[0]); close(r.unwound[1]) }, -1},
		{"the caller leaves before the delay", func(r *hedgedRequest) { r.cancel(); close(r.unwound[0]) }, -1},
	} {
		fmt.Fprintf(&out, "%s\n", c.name)
		r := newHedgedRequest(t, &fixedPolicy{}, false, 1<<20)
		c.play(r)
		r.describe(&out)
		if c.late >= 0 {
			if cause := <-r.ended[c.late]; !errors.Is(cause, handler.ErrOvertaken) {
				t.Errorf("%s: the attempt was canceled with %v", c.name, cause)
			}
			r.unwind(c.late)
		}
		if r.memory.Reserved() != r.exchange.Held() {
			t.Errorf("%s: %d bytes are reserved, the exchange holds %d", c.name, r.memory.Reserved(), r.exchange.Held())
		}
		r.cancel()
	}
	goldie.New(t).Assert(t, "hedge", out.Bytes())
}

// TestNoHedge checks that a request gets no second attempt where the limit is used up, where
// it crashed a target or where no memory is left for its body.
func TestNoHedge(t *testing.T) {
	for _, c := range []struct {
		name   string
		policy *fixedPolicy
		crash  suspicion
		memory int64
	}{
		{"the limit is used up", &fixedPolicy{refuse: true}, false, 1 << 20},
		{"no memory", &fixedPolicy{}, false, bodyBytes + bodyBytes/2},
	} {
		r := newHedgedRequest(t, c.policy, c.crash, c.memory)
		r.clock.Advance(hedgeDelay)
		time.Sleep(10 * time.Millisecond) // A wrong hedge would begin now.
		r.answer[0] <- 404
		if err := <-r.result; err != nil || r.count.Load() != 1 || r.exchange.Response().Status() != 404 {
			t.Errorf("%s: %d attempts, error %v", c.name, r.count.Load(), err)
		}
		r.cancel()
	}
	crashing := &fixedPolicy{}
	f := filterer.NewHedge(crashing, suspicion(true), reserver.New(1), nowOnly{}, logger.Discard())
	x := handler.NewExchange(handler.NewRequest("GET", "/", "", nil), 0)
	x.SetRoute(manifester.NewRoute(manifester.RouteSpec{Name: "r", Idempotent: true}), manifester.NewListedService("s", manifester.ClassLookup, 1))
	if err := f.Handle(t.Context(), x, failing{}); !errors.Is(err, errFailing) {
		t.Errorf("a suspect request: error %v; the clock must not be subscribed to", err)
	}
}

// nowOnly is a clock that fails the test when it is subscribed to.
type nowOnly struct{}

func (nowOnly) Now() timer.Instant { return 0 }

func (nowOnly) After(time.Duration) *timer.Subscription { panic("subscribed") }

var errFailing = errors.New("the attempt failed")

// failing is the end of a chain that fails every request.
type failing struct{}

func (failing) Serve(context.Context, *handler.Exchange) error { return errFailing }

// TestRepeatCountsBoth checks that both attempts of a hedged request count as ones that may
// have run it: a retry after them must not exceed the attempts that the route allows.
func TestRepeatCountsBoth(t *testing.T) {
	var states []retrier.RetryState
	policy := &recordingRepeat{states: &states}
	x := newExchange(true, 0)
	both := bothFail{fault: handler.FaultReset, refusal: handler.NewUnknownOutcome(handler.CodeUpstream, "reset")}
	err := filterer.NewRepeat(policy, timer.NewManual(0)).Handle(t.Context(), x, both)
	if got := result(x, err); got != "unknown upstream-failed" {
		t.Error(got)
	}
	if len(states) != 1 || states[0].Attempts != 2 || states[0].MayHaveRun != 2 || states[0].Last.Target().Name() != "a" {
		t.Errorf("the policy was asked with %+v", states)
	}
}

// recordingRepeat allows no retry and records what it was asked.
type recordingRepeat struct {
	states *[]retrier.RetryState
}

func (recordingRepeat) Begin(timer.Instant, string) {}

func (r recordingRepeat) DecideRetry(_ timer.Instant, s retrier.RetryState) handler.StopReason {
	*r.states = append(*r.states, s)

	return handler.StopAttempts
}

// bothFail is the end of a chain whose hedged attempts at the targets a and b both fail.
type bothFail struct {
	fault   handler.Fault
	refusal *handler.Refusal
}

func (b bothFail) Serve(_ context.Context, x *handler.Exchange) error {
	var forks []*handler.Fork
	for _, name := range []string{"a", "b"} {
		f := x.Fork(forks...)
		forks = append(forks, f)
		target := manifester.NewTarget(manifester.TargetSpec{Name: name})
		f.Exchange().SetTarget(target)
		f.Exchange().SetAttempt(handler.NewFailedAttempt(target, b.fault, b.refusal))
	}
	for _, f := range forks {
		x.AddEnded(f)
	}
	x.Adopt(forks[0])

	return x.Attempt().Err()
}

// TestRejectionsOfHedges checks that the rejections of both attempts of a hedged request
// count for the pressure on its service. Otherwise hedges would hide that targets reject
// requests.
func TestRejectionsOfHedges(t *testing.T) {
	now := timer.Instant(time.Hour)
	policy := newSpaced(now, false)
	f := filterer.NewSpacedRepeat(policy, noPauses{}, &promptClock{Manual: timer.NewManual(now)})
	both := bothFail{fault: handler.FaultShed, refusal: handler.NewRefusal(handler.CodeShed, "shed")}
	for range 2 {
		x := newExchange(true, now)
		x.SetDeadline(now) // No time is left for a retry.
		if err := f.Handle(t.Context(), x, both); err == nil {
			t.Fatal("the request was served")
		}
	}
	if !policy.UnderPressure(now, "bookings") {
		t.Error("the service is not under pressure after four rejections")
	}
}
