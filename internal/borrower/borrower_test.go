package borrower_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"go.uber.org/goleak"

	"github.com/lagoonkeel/lagoonkeel/internal/borrower"
	"github.com/lagoonkeel/lagoonkeel/internal/granter"
	"github.com/lagoonkeel/lagoonkeel/internal/keyer"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

func testTeam(rate, burst float64) *manifester.Team {
	return manifester.NewTeam("guides", rate, burst, 1, []string{keyer.Digest("lk_test")})
}

// TestLimiter compares the calls and verdicts of one limiter with
// testdata/limiter.golden.
func TestLimiter(t *testing.T) {
	l := borrower.NewLimiter(testTeam(20, 30))
	var out strings.Builder
	var waiters []*borrower.Waiter
	var calls []borrower.Call
	now := timer.Instant(0)
	advance := func(d time.Duration) { now = now.Add(d) }
	step := func() {
		c, ok := l.Step(now)
		if ok {
			calls = append(calls, c)
			fmt.Fprintf(&out, "%v ask slot %d for %d+%d\n", time.Duration(now), c.Slot(), c.Needed(), c.Spare())
		}
		for i, w := range waiters {
			select {
			case v := <-w.Verdict():
				fmt.Fprintf(&out, "%v request %d admitted=%v retry after %v\n", time.Duration(now), i, v.Admitted(), v.RetryAfter())
			default:
			}
		}
	}
	arrive := func(n int) {
		for range n {
			if l.TryAdmit(now) {
				fmt.Fprintf(&out, "%v admitted at once\n", time.Duration(now))

				continue
			}
			w, _ := l.Enqueue(now, now.Add(time.Second))
			waiters = append(waiters, w)
		}
		step()
	}
	reply := func(r granter.Reply) {
		fmt.Fprintf(&out, "%v reply state %d tokens %d\n", time.Duration(now), r.State(), r.Tokens())
		l.HandleReply(now, calls[len(calls)-1], r)
		step()
	}
	lifetime := 500 * time.Millisecond
	arrive(2)
	arrive(1)
	advance(2 * time.Millisecond)
	reply(granter.NewReply(2, lifetime, 100*time.Millisecond))
	advance(2 * time.Millisecond)
	reply(granter.NewReply(4, lifetime, 0))
	arrive(4)
	advance(2 * time.Millisecond)
	reply(granter.NewReply(0, lifetime, 120*time.Millisecond))
	advance(45 * time.Millisecond)
	step()
	l.HandleFailure(now, calls[len(calls)-1])
	step()
	advance(l.NextWake(now).Sub(now))
	step()
	reply(granter.NewReply(3, lifetime, 40*time.Millisecond))
	advance(lifetime)
	arrive(1)
	reply(granter.NewRejection(granter.StateNotHolder))
	for range 40 {
		advance(l.NextWake(now).Sub(now))
		before := len(calls)
		step()
		if len(calls) > before {
			reply(granter.NewRejection(granter.StateNotHolder))
		}
	}
	goldie.New(t).Assert(t, "limiter", []byte(out.String()))
}

// localClient asks one granter in the same process.
type localClient struct {
	granter *granter.Granter
}

func (c localClient) RequestTokens(_ context.Context, _ member.VM, r granter.TokenRequest) (granter.Reply, error) {
	return c.granter.Grant(r), nil
}

// singleVM is a membership of one VM with a fixed manifest.
type singleVM struct {
	view     *member.View
	manifest *manifester.Manifest
}

func (s singleVM) View() *member.View             { return s.view }
func (s singleVM) Manifest() *manifester.Manifest { return s.manifest }

func (s singleVM) Active(member.Range) (member.Term, bool) {
	return member.NewTerm(1, 1), true
}

// TestBorrowerConcurrent admits requests from many goroutines on the real clock
// and compares their number with burst + rate x T.
func TestBorrowerConcurrent(t *testing.T) {
	defer goleak.VerifyNone(t)
	team := testTeam(200, 40)
	m, err := manifester.Restore(0, nil, []*manifester.Team{team}, nil)
	if err != nil {
		t.Fatal(err)
	}
	s := singleVM{
		view:     member.NewView(member.NewVM("vm-1", 1, "", "kandy"), nil),
		manifest: m,
	}
	timers := timer.NewService()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- timers.Run(ctx) }()
	b := borrower.New(timers, s, localClient{granter: granter.New(s, s, timers)})
	var admitted atomic.Int64
	var wg sync.WaitGroup
	start := timers.Now()
	for range 64 {
		wg.Go(func() {
			for timers.Now().Sub(start) < 500*time.Millisecond {
				if b.Admit(ctx, timers.Now().Add(time.Second), team).Admitted() {
					admitted.Add(1)
				}
			}
		})
	}
	wg.Wait()
	bound := team.Burst() + team.Rate()*timers.Now().Sub(start).Seconds()
	if n := float64(admitted.Load()); n > bound || n == 0 {
		t.Errorf("%v requests were admitted; want more than 0 and at most %v", n, bound)
	}
	cancel()
	if err := b.Run(ctx); err != nil {
		t.Error(err)
	}
	<-done
}
