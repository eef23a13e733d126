package borrower

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lagoonkeel/lagoonkeel/internal/admitter"
	"github.com/lagoonkeel/lagoonkeel/internal/granter"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// askTimeout bounds one call to a holder.
	askTimeout = 150 * time.Millisecond
	// deadlineShare is the part of a request's remaining time that it may
	// spend waiting for a token.
	deadlineShare = 0.75
)

type clock interface {
	Now() timer.Instant
	After(d time.Duration) *timer.Subscription
}

type viewSource interface {
	View() *member.View
}

// asker calls the holder of a slot, which may be this VM itself.
type asker interface {
	Ask(ctx context.Context, holder member.VM, a granter.Ask) (granter.Reply, error)
}

// Borrower admits requests by the tokens of the fleet's holders. It is safe
// for concurrent use.
type Borrower struct {
	clock clock
	views viewSource
	asker asker
	// ledgers is swapped when a team is seen for the first time; never nil.
	ledgers atomic.Pointer[map[string]*ledger]
	// adding serialises the swaps of ledgers.
	adding sync.Mutex
	// tasks are the calls and the drivers of waiting requests.
	tasks errgroup.Group
	// ended is closed when no request can wait any more.
	ended chan struct{}
	calls atomic.Int64
}

// ledger is one team's account and what it was built from.
type ledger struct {
	// mu guards the fields below; it is held for one decision.
	mu      sync.Mutex
	account *Account
	team    *manifester.Team
	view    *member.View
	// driven is set while a driver runs.
	driven bool
	// nudge wakes the driver after the account changed.
	nudge chan struct{}
}

// New returns a borrower without tokens.
func New(c clock, v viewSource, a asker) *Borrower {
	b := &Borrower{
		clock: c,
		views: v,
		asker: a,
		ended: make(chan struct{}),
	}
	b.ledgers.Store(&map[string]*ledger{})

	return b
}

// Name returns the controller's name.
func (b *Borrower) Name() string { return "borrower" }

// Run waits for ctx to end and then for the calls on their way. No request may
// be admitted after ctx ended.
func (b *Borrower) Run(ctx context.Context) error {
	<-ctx.Done()
	close(b.ended)

	return b.tasks.Wait() //nolint:wrapcheck // The tasks return no errors.
}

// Calls returns the number of calls to holders so far.
func (b *Borrower) Calls() int64 { return b.calls.Load() }

// Admit takes one token of the team's rate. It waits for one, but not past a
// part of the time to the deadline.
func (b *Borrower) Admit(ctx context.Context, deadline timer.Instant, team *manifester.Team) admitter.Verdict {
	l := b.ledger(team)
	w, admitted := b.arrive(l, team, deadline)
	if admitted {
		return admitter.Admitted()
	}
	if w == nil {
		return admitter.Refused(pace(team))
	}
	select {
	case <-ctx.Done():
		l.mu.Lock()
		l.account.Leave(w)
		l.mu.Unlock()

		return admitter.Refused(pace(team))
	case v := <-w.Verdict():
		return b.conclude(v, team)
	}
}

func (b *Borrower) conclude(v Verdict, team *manifester.Team) admitter.Verdict {
	if v.Holderless() {
		return admitter.Undecided(v.Wait())
	}
	if !v.Admitted() {
		return admitter.Refused(v.Wait())
	}
	// The token may have expired before the waiting goroutine ran again.
	if !b.clock.Now().Before(v.Expires()) {
		return admitter.Refused(pace(team))
	}

	return admitter.Admitted()
}

// arrive admits the request at once, or returns the waiter that it became; no
// waiter and no admission is a refusal.
func (b *Borrower) arrive(l *ledger, team *manifester.Team, deadline timer.Instant) (*Waiter, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(team, b.views.View())
	now := b.clock.Now()
	if l.account.Arrive(now) {
		b.step(l)

		return nil, true
	}
	left := time.Duration(float64(deadline.Sub(now)) * deadlineShare)
	w, ok := l.account.Enqueue(now, now.Add(left))
	if !ok {
		return nil, false
	}
	b.step(l)
	b.drive(l)

	return w, false
}

// pace returns the time in which the team's rate allows one request.
func pace(team *manifester.Team) time.Duration {
	return time.Duration(float64(time.Second) / team.Rate())
}

// ledger returns the team's account.
func (b *Borrower) ledger(team *manifester.Team) *ledger {
	if l, ok := (*b.ledgers.Load())[team.Name()]; ok {
		return l
	}
	b.adding.Lock()
	defer b.adding.Unlock()
	old := *b.ledgers.Load()
	if l, ok := old[team.Name()]; ok {
		return l
	}
	next := make(map[string]*ledger, len(old)+1)
	for k, l := range old {
		next[k] = l
	}
	l := &ledger{
		account: NewAccount(team),
		team:    team,
		nudge:   make(chan struct{}, 1),
	}
	next[team.Name()] = l
	b.ledgers.Store(&next)

	return l
}

// refresh follows a change of the team's limits or of the membership.
func (l *ledger) refresh(team *manifester.Team, v *member.View) {
	if l.team == team && l.view == v {
		return
	}
	l.account.Configure(team)
	l.account.Rank(rank(team.Name(), l.account.Slots(), v))
	l.team = team
	l.view = v
}

// rank orders the slots by the distance of their holders: this VM itself, its
// data centre, the others. Each VM begins with another of those that are
// equally far.
func rank(team string, slots int, v *member.View) []int {
	ranking := make([]int, slots)
	distances := make([]int, slots)
	first := int(member.RangeOf(string(v.Self().ID()) + "/" + team))
	for i := range slots {
		ranking[i] = (first + i) % slots
		distances[i] = distance(v.Self(), v.Holder(granter.SlotRange(team, i)))
	}
	sort.SliceStable(ranking, func(i, j int) bool {
		return distances[ranking[i]] < distances[ranking[j]]
	})

	return ranking
}

func distance(from, to member.VM) int {
	if from.ID() == to.ID() {
		return 0
	}
	if from.DataCentre() == to.DataCentre() {
		return 1
	}

	return 2
}

// step lets the account decide and starts the call that it orders. The lock of
// the ledger is held.
func (b *Borrower) step(l *ledger) {
	if o, ok := l.account.Step(b.clock.Now()); ok {
		b.calls.Add(1)
		a := granter.NewAsk(l.team.Name(), o.Slot(), o.Needed(), o.Spare())
		holder := l.view.Holder(granter.SlotRange(l.team.Name(), o.Slot()))
		b.tasks.Go(func() error {
			b.ask(l, holder, o, a)

			return nil
		})
	}
	select {
	case l.nudge <- struct{}{}:
	default:
	}
}

func (b *Borrower) ask(l *ledger, holder member.VM, o Order, a granter.Ask) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	reply, err := b.asker.Ask(ctx, holder, a)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.account.Failed(b.clock.Now(), o)
	} else {
		l.account.Granted(b.clock.Now(), o, reply)
	}
	b.step(l)
}

// drive starts the driver of the waiting requests unless it runs. The lock of
// the ledger is held.
func (b *Borrower) drive(l *ledger) {
	if l.driven {
		return
	}
	l.driven = true
	b.tasks.Go(func() error {
		for b.driveOnce(l) {
			continue
		}

		return nil
	})
}

// driveOnce sleeps until the account has something to decide. It returns false
// once no request waits.
func (b *Borrower) driveOnce(l *ledger) bool {
	l.mu.Lock()
	if l.account.Waiting() == 0 {
		l.driven = false
		l.mu.Unlock()

		return false
	}
	now := b.clock.Now()
	t := b.clock.After(l.account.Wake(now).Sub(now))
	l.mu.Unlock()
	defer t.Stop()
	select {
	case <-b.ended:
		return false
	case <-l.nudge:
		return true
	case <-t.Due():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(l.team, b.views.View())
	b.step(l)

	return true
}
