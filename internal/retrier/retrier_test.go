package retrier_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

func failed(f handler.Fault, notRun bool) *handler.Attempt {
	refusal := handler.NewUnknownOutcome(handler.CodeUpstream, "failed")
	if notRun {
		refusal = handler.NewRefusal(handler.CodeConnect, "failed")
	}

	return handler.NewFailedAttempt(nil, f, refusal)
}

// TestDecide compares the verdict for each kind of attempt with the golden
// transcript.
func TestDecide(t *testing.T) {
	var out bytes.Buffer
	for _, c := range []struct {
		name    string
		attempt *handler.Attempt
	}{
		{"200", handler.NewCompletedAttempt(nil, handler.NewResponse(200, nil))},
		{"404", handler.NewCompletedAttempt(nil, handler.NewResponse(404, nil))},
		{"500", handler.NewCompletedAttempt(nil, handler.NewResponse(500, nil))},
		{"501", handler.NewCompletedAttempt(nil, handler.NewResponse(501, nil))},
		{"503", handler.NewCompletedAttempt(nil, handler.NewResponse(503, nil))},
		{"connect", failed(handler.FaultConnect, true)},
		{"busy", failed(handler.FaultConnectionLimit, true)},
		{"stale", failed(handler.FaultStale, true)},
		{"shed", failed(handler.FaultShed, true)},
		{"draining", failed(handler.FaultDraining, true)},
		{"slow", failed(handler.FaultSlow, false)},
		{"reset", failed(handler.FaultReset, false)},
		{"truncated", failed(handler.FaultTruncated, false)},
		{"malformed", failed(handler.FaultMalformed, false)},
		{"canceled", failed(handler.FaultCanceled, false)},
	} {
		for _, idempotent := range []bool{true, false} {
			r := retrier.New()
			now := timer.Instant(0)
			deadline := now.Add(time.Second)
			fmt.Fprintf(&out, "%s idempotent=%v: first=%v third=%v late=%v\n", c.name, idempotent,
				r.Decide(now, deadline, "s", idempotent, false, 1, c.attempt),
				r.Decide(now, deadline, "s", idempotent, false, 3, c.attempt),
				r.Decide(deadline.Add(-time.Millisecond), deadline, "s", idempotent, false, 1, c.attempt))
		}
	}
	goldie.New(t).Assert(t, "decide", out.Bytes())
}

// TestBudget compares the number of retries that the budget allows with the
// golden transcript.
func TestBudget(t *testing.T) {
	var out bytes.Buffer
	now := timer.Instant(0)
	b := retrier.NewBudget(now)
	count := func() int {
		n := 0
		for b.Withdraw(now) {
			n++
		}

		return n
	}
	fmt.Fprintf(&out, "at the start: %d\n", count())
	fmt.Fprintf(&out, "immediately afterwards: %d\n", count())
	for range 1000 {
		b.Deposit()
	}
	fmt.Fprintf(&out, "after 1000 requests without a failure: %d\n", count())
	paid := 0
	for range 1000 {
		b.Deposit()
		if b.Withdraw(now) {
			paid++
		}
	}
	fmt.Fprintf(&out, "of 1000 requests that all fail: %d\n", paid)
	now = now.Add(3500 * time.Millisecond)
	fmt.Fprintf(&out, "after 3.5 s without requests: %d\n", count())
	now = now.Add(time.Hour)
	fmt.Fprintf(&out, "after an hour without requests: %d\n", count())
	goldie.New(t).Assert(t, "budget", out.Bytes())
}

// TestLatency compares the computed bounds with the golden transcript.
func TestLatency(t *testing.T) {
	var out bytes.Buffer
	l := retrier.NewLatency()
	record := func(title string, times ...time.Duration) {
		for i := range 1024 {
			l.Record(times[i%len(times)])
		}
		fmt.Fprintf(&out, "%s: late after %v\n", title, l.Bound())
	}
	fmt.Fprintf(&out, "no records: late after %v\n", l.Bound())
	ms := time.Millisecond
	record("5 ms", 5*ms)
	record("three quarters 5 ms, one quarter 2 s", 5*ms, 5*ms, 5*ms, 2*time.Second)
	record("20 ms", 20*ms)
	record("1 ms", ms)
	record("3 s", 3*time.Second)
	goldie.New(t).Assert(t, "latency", out.Bytes())
}

// TestReserved checks that a retry is reserved for each attempt with a first-byte
// timeout, and that an unused one is refunded.
func TestReserved(t *testing.T) {
	var out bytes.Buffer
	r := retrier.New()
	now := timer.Instant(0)
	deadline := now.Add(time.Second)
	slow := failed(handler.FaultSlow, false)
	ok := handler.NewCompletedAttempt(nil, handler.NewResponse(200, nil))
	reserved := 0
	for range 8 {
		if r.ReserveRetry(now, "s", 0) > 0 {
			reserved++
		}
	}
	fmt.Fprintf(&out, "of 8 concurrent attempts, with a reserved retry: %d\n", reserved)
	fmt.Fprintf(&out, "slow without a reserved retry: %v\n", r.Decide(now, deadline, "s", true, false, 1, slow))
	fmt.Fprintf(&out, "slow with a reserved retry: %v\n", r.Decide(now, deadline, "s", true, true, 1, slow))
	fmt.Fprintf(&out, "complete response with a reserved retry: %v\n", r.Decide(now, deadline, "s", true, true, 1, ok))
	fmt.Fprintf(&out, "after the refund a retry can be reserved: %v, another: %v\n", r.ReserveRetry(now, "s", 0) > 0, r.ReserveRetry(now, "s", 0) > 0)
	goldie.New(t).Assert(t, "reserved", out.Bytes())
}
