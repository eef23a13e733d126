package borrower_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/admitter"
	"github.com/lagoonkeel/lagoonkeel/internal/borrower"
	"github.com/lagoonkeel/lagoonkeel/internal/granter"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// readingsPerReply is the number of times that the borrower reads the clock to handle
// a reply, up to the verdicts that it sends.
const readingsPerReply = 2

// stallClock is a manual clock on which the process stalls between the verdict on a
// request and the next reading of the clock.
type stallClock struct {
	*timer.Manual

	// mu guards stalls and readings.
	mu sync.Mutex
	// stalls has the lengths of the stalls to come.
	stalls []time.Duration
	// readings is the number of readings until the next stall; 0 if none is due.
	readings int
}

// stallAfterReply makes the next stall, if any is left, follow the reply that is
// handled next.
func (c *stallClock) stallAfterReply() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.stalls) > 0 {
		c.readings = readingsPerReply + 1
	}
}

func (c *stallClock) Now() timer.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readings > 0 {
		c.readings--
		if c.readings == 0 {
			c.Advance(c.stalls[0])
			c.stalls = c.stalls[1:]
		}
	}

	return c.Manual.Now()
}

// heldClient grants every token that is needed, once the test releases the reply.
type heldClient struct {
	clock    *stallClock
	lifetime time.Duration
	release  chan struct{}
}

func (c *heldClient) RequestTokens(_ context.Context, _ member.VM, r granter.TokenRequest) (granter.Reply, error) {
	<-c.release
	c.clock.stallAfterReply()

	return granter.NewReply(r.Needed(), c.lifetime, 0), nil
}

// TestTokenExpiresInStall guards against refusing a request as over its team's rate
// because the process stalled, for longer than the lifetime of its token, after the
// token had arrived. The verdicts are in testdata/stall.golden.
func TestTokenExpiresInStall(t *testing.T) {
	team := testTeam(500, 100)
	lifetime := granter.SlotLimitsOf(team).Lifetime()
	var out strings.Builder
	for _, stalls := range [][]time.Duration{
		{},
		{lifetime + time.Millisecond},
		{lifetime + time.Millisecond, 6 * lifetime},
		{lifetime + time.Millisecond, time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			v, calls := admitWithStalls(t, lifetime, stalls)
			fmt.Fprintf(&out, "stalls %v: admitted=%v, %d calls\n", stalls, v.Admitted(), calls)
		})
	}
	goldie.New(t).Assert(t, "stall", []byte(out.String()))
}

// admitWithStalls admits one request with a second until its deadline while the
// process stalls after each of the first replies. It returns the verdict and the number
// of calls to holders.
func admitWithStalls(t *testing.T, lifetime time.Duration, stalls []time.Duration) (admitter.Verdict, int64) {
	t.Helper()
	clock := &stallClock{
		Manual: timer.NewManual(timer.Instant(time.Hour)),
		stalls: stalls,
	}
	client := &heldClient{
		clock:    clock,
		lifetime: lifetime,
		release:  make(chan struct{}),
	}
	s := singleVM{
		view: member.NewView(member.NewVM("vm-1", 1, "", "kandy"), nil),
	}
	b := borrower.New(clock, s, client)
	verdict := make(chan admitter.Verdict, 1)
	go func() { verdict <- b.Admit(t.Context(), clock.Now().Add(time.Second), testTeam(500, 100)) }()
	for {
		synctest.Wait() // Only the goroutine that handles the reply then reads the clock.
		select {
		case v := <-verdict:
			close(client.release)
			ended, end := context.WithCancel(t.Context())
			end()
			if err := b.Run(ended); err != nil {
				t.Error(err)
			}

			return v, b.Calls()
		case client.release <- struct{}{}:
		}
	}
}

// TestRequeueOrder guards against requests that lose their place to later ones because
// their tokens expired in a stall. The order of the tokens is in
// testdata/requeue.golden.
func TestRequeueOrder(t *testing.T) {
	team := testTeam(500, 100)
	lifetime := granter.SlotLimitsOf(team).Lifetime()
	l := borrower.NewLimiter(team)
	now := timer.Instant(time.Hour)
	var waiters []*borrower.Waiter
	for range 3 {
		now = now.Add(time.Millisecond)
		w, _ := l.Enqueue(now, now.Add(time.Second))
		waiters = append(waiters, w)
	}
	grant := func(tokens int) {
		c, _ := l.Step(now)
		l.HandleReply(now, c, granter.NewReply(tokens, lifetime, 0))
		l.Step(now)
	}
	var out strings.Builder
	report := func() {
		for i, w := range waiters {
			select {
			case v := <-w.Verdict():
				fmt.Fprintf(&out, "request %d admitted=%v\n", i, v.Admitted())
			default:
			}
		}
	}
	out.WriteString("two tokens:\n")
	grant(2)
	report()
	now = now.Add(lifetime)
	out.WriteString("both expire in a stall:\n")
	l.Requeue(now, waiters[1])
	l.Requeue(now, waiters[0])
	report()
	for range 3 {
		now = now.Add(lifetime)
		out.WriteString("one token:\n")
		grant(1)
		report()
	}
	goldie.New(t).Assert(t, "requeue", []byte(out.String()))
}
