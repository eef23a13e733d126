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

// TestAccount compares one account's orders and verdicts with the golden
// transcript.
func TestAccount(t *testing.T) {
	a := borrower.NewAccount(testTeam(20, 30))
	var out strings.Builder
	var waiters []*borrower.Waiter
	var orders []borrower.Order
	now := timer.Instant(0)
	advance := func(d time.Duration) { now = now.Add(d) }
	step := func() {
		o, ok := a.Step(now)
		if ok {
			orders = append(orders, o)
			fmt.Fprintf(&out, "%v ask slot %d for %d+%d\n", time.Duration(now), o.Slot(), o.Needed(), o.Spare())
		}
		for i, w := range waiters {
			select {
			case v := <-w.Verdict():
				fmt.Fprintf(&out, "%v request %d admitted=%v wait %v\n", time.Duration(now), i, v.Admitted(), v.Wait())
			default:
			}
		}
	}
	arrive := func(n int) {
		for range n {
			if a.Arrive(now) {
				fmt.Fprintf(&out, "%v admitted at once\n", time.Duration(now))

				continue
			}
			w, _ := a.Enqueue(now, now.Add(time.Second))
			waiters = append(waiters, w)
		}
		step()
	}
	reply := func(r granter.Reply) {
		fmt.Fprintf(&out, "%v reply state %d tokens %d\n", time.Duration(now), r.State(), r.Tokens())
		a.Granted(now, orders[len(orders)-1], r)
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
	a.Failed(now, orders[len(orders)-1])
	step()
	advance(a.Wake(now).Sub(now))
	step()
	reply(granter.NewReply(3, lifetime, 40*time.Millisecond))
	advance(lifetime)
	arrive(1)
	reply(granter.NewRejection(granter.StateNotHolder))
	for range 40 {
		advance(a.Wake(now).Sub(now))
		before := len(orders)
		step()
		if len(orders) > before {
			reply(granter.NewRejection(granter.StateNotHolder))
		}
	}
	goldie.New(t).Assert(t, "account", []byte(out.String()))
}

// direct asks one granter without a network.
type direct struct {
	granter *granter.Granter
}

func (d direct) Ask(_ context.Context, _ member.VM, a granter.Ask) (granter.Reply, error) {
	return d.granter.Grant(a), nil
}

// alone is a fleet of one VM with a fixed manifest.
type alone struct {
	view     *member.View
	manifest *manifester.Manifest
}

func (a alone) View() *member.View             { return a.view }
func (a alone) Manifest() *manifester.Manifest { return a.manifest }

func (a alone) Active(member.Range) (member.Term, bool) {
	return member.NewTerm(1, 1), true
}

// TestBorrowerConcurrent admits requests from many goroutines on the machine's
// clock and compares their number with the team's bound.
func TestBorrowerConcurrent(t *testing.T) {
	defer goleak.VerifyNone(t)
	team := testTeam(200, 40)
	m, err := manifester.Restore(0, nil, []*manifester.Team{team}, nil)
	if err != nil {
		t.Fatal(err)
	}
	s := alone{
		view:     member.NewView(member.NewVM("vm-1", 1, "", "kandy"), nil),
		manifest: m,
	}
	timers := timer.NewService()
	ctx, cancel := context.WithCancel(context.Background())
	running := make(chan error, 1)
	go func() { running <- timers.Run(ctx) }()
	b := borrower.New(timers, s, direct{granter: granter.New(s, s, timers)})
	var admitted atomic.Int64
	var all sync.WaitGroup
	start := timers.Now()
	for range 64 {
		all.Go(func() {
			for timers.Now().Sub(start) < 500*time.Millisecond {
				if b.Admit(ctx, timers.Now().Add(time.Second), team).Admitted() {
					admitted.Add(1)
				}
			}
		})
	}
	all.Wait()
	most := team.Burst() + team.Rate()*timers.Now().Sub(start).Seconds()
	if n := float64(admitted.Load()); n > most || n == 0 {
		t.Errorf("%v requests were admitted; want more than 0 and at most %v", n, most)
	}
	cancel()
	if err := b.Run(ctx); err != nil {
		t.Error(err)
	}
	<-running
}
