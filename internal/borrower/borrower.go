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
	// callTimeout bounds one call to a holder.
	callTimeout = 150 * time.Millisecond
	// waitShare is the part of a request's remaining time until its deadline
	// that it may spend waiting for a token.
	waitShare = 0.75
)

type clock interface {
	Now() timer.Instant
	After(d time.Duration) *timer.Subscription
}

type viewSource interface {
	View() *member.View
}

// holderClient sends requests for tokens to the holder of a slot, which may be
// this VM itself.
type holderClient interface {
	RequestTokens(ctx context.Context, holder member.VM, r granter.TokenRequest) (granter.Reply, error)
}

// Borrower admits requests with tokens granted by the holders of slots. It is
// safe for concurrent use.
type Borrower struct {
	clock  clock
	views  viewSource
	client holderClient
	// limiters has the limiter of each team by the team's name. The map is
	// replaced when a team is seen for the first time; never nil.
	limiters atomic.Pointer[map[string]*teamLimiter]
	// addMu serialises the replacements of limiters.
	addMu sync.Mutex
	// tasks are the calls to holders and, for each team with waiting requests, a
	// goroutine, the driver, that steps the limiter when it has to decide again.
	tasks errgroup.Group
	// stopped is closed when Run's context ends; the drivers then return.
	stopped chan struct{}
	calls   atomic.Int64
}

// teamLimiter is one team's limiter with the configuration that it was built from.
type teamLimiter struct {
	// mu guards the fields down to driverRunning. It is held for one decision,
	// never during a call.
	mu      sync.Mutex
	limiter *Limiter
	team    *manifester.Team
	view    *member.View
	// driverRunning is set while a driver of the waiting requests runs.
	driverRunning bool
	// wake wakes the driver after the limiter has changed.
	wake chan struct{}
}

// New returns a borrower without tokens.
func New(c clock, v viewSource, h holderClient) *Borrower {
	b := &Borrower{
		clock:   c,
		views:   v,
		client:  h,
		stopped: make(chan struct{}),
	}
	b.limiters.Store(&map[string]*teamLimiter{})

	return b
}

// Name returns the controller's name.
func (b *Borrower) Name() string { return "borrower" }

// Run waits for ctx to end and then for the calls in flight. Admit must not be
// called after ctx has ended.
func (b *Borrower) Run(ctx context.Context) error {
	<-ctx.Done()
	close(b.stopped)

	return b.tasks.Wait() //nolint:wrapcheck // The tasks return no errors.
}

// Calls returns the number of calls to holders so far.
func (b *Borrower) Calls() int64 { return b.calls.Load() }

// Admit takes one token of the team's rate. If none is available, it waits for
// at most a part of the time to the deadline.
func (b *Borrower) Admit(ctx context.Context, deadline timer.Instant, team *manifester.Team) admitter.Verdict {
	l := b.limiterFor(team)
	w, admitted := b.admitOrEnqueue(l, team, deadline)
	if admitted {
		return admitter.Admitted()
	}
	if w == nil {
		return admitter.Refused(requestInterval(team))
	}

	return b.await(ctx, l, w, team)
}

// await waits for the verdict on a request, again where its token has expired before
// this goroutine ran.
func (b *Borrower) await(ctx context.Context, l *teamLimiter, w *Waiter, team *manifester.Team) admitter.Verdict {
	for {
		select {
		case <-ctx.Done():
			l.mu.Lock()
			l.limiter.Cancel(w)
			l.mu.Unlock()

			return admitter.Refused(requestInterval(team))
		case v := <-w.Verdict():
			if !v.Admitted() || b.clock.Now().Before(v.Expires()) {
				return admissionVerdict(v)
			}
			b.requeue(l, w)
		}
	}
}

func admissionVerdict(v Verdict) admitter.Verdict {
	if v.Admitted() {
		return admitter.Admitted()
	}
	if v.HolderUnreachable() {
		return admitter.Undecided(v.RetryAfter())
	}

	return admitter.Refused(v.RetryAfter())
}

// requeue makes a request wait again whose token has expired unused.
func (b *Borrower) requeue(l *teamLimiter, w *Waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Requeue(b.clock.Now(), w)
	b.step(l)
	b.startDriver(l)
}

// admitOrEnqueue admits the request at once, or enqueues it and returns its
// waiter. If it does neither, the request is refused.
func (b *Borrower) admitOrEnqueue(l *teamLimiter, team *manifester.Team, deadline timer.Instant) (*Waiter, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(team, b.views.View())
	now := b.clock.Now()
	if l.limiter.TryAdmit(now) {
		b.step(l)

		return nil, true
	}
	maxWait := time.Duration(float64(deadline.Sub(now)) * waitShare)
	w, ok := l.limiter.Enqueue(now, now.Add(maxWait))
	if !ok {
		return nil, false
	}
	b.step(l)
	b.startDriver(l)

	return w, false
}

// requestInterval returns the time in which the team's rate allows one request.
func requestInterval(team *manifester.Team) time.Duration {
	return time.Duration(float64(time.Second) / team.Rate())
}

// limiterFor returns the team's limiter, which it adds if it does not exist.
func (b *Borrower) limiterFor(team *manifester.Team) *teamLimiter {
	if l, ok := (*b.limiters.Load())[team.Name()]; ok {
		return l
	}
	b.addMu.Lock()
	defer b.addMu.Unlock()
	old := *b.limiters.Load()
	if l, ok := old[team.Name()]; ok {
		return l
	}
	next := make(map[string]*teamLimiter, len(old)+1)
	for k, l := range old {
		next[k] = l
	}
	l := &teamLimiter{
		limiter: NewLimiter(team),
		team:    team,
		wake:    make(chan struct{}, 1),
	}
	next[team.Name()] = l
	b.limiters.Store(&next)

	return l
}

// refresh applies a change of the team's limits or of the membership.
func (l *teamLimiter) refresh(team *manifester.Team, v *member.View) {
	if l.team == team && l.view == v {
		return
	}
	l.limiter.Configure(team)
	l.limiter.Rank(rank(team.Name(), l.limiter.Slots(), v))
	l.team = team
	l.view = v
}

// rank orders the slots by the distance of their holders: this VM itself, its
// data centre, other data centres. Among holders at the same distance, the first
// depends on this VM's id, so that the VMs do not all ask the same holder.
func rank(team string, slots int, v *member.View) []int {
	ranking := make([]int, slots)
	distances := make([]int, slots)
	// RangeOf serves as a hash of the VM's id and the team.
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

// step lets the limiter decide, starts the call that it returns, if any, and
// wakes the driver. The caller holds l.mu.
func (b *Borrower) step(l *teamLimiter) {
	if c, ok := l.limiter.Step(b.clock.Now()); ok {
		b.calls.Add(1)
		r := granter.NewTokenRequest(l.team.Name(), c.Slot(), c.Needed(), c.Spare())
		holder := l.view.Holder(granter.SlotRange(l.team.Name(), c.Slot()))
		b.tasks.Go(func() error {
			b.callHolder(l, holder, c, r)

			return nil
		})
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (b *Borrower) callHolder(l *teamLimiter, holder member.VM, c Call, r granter.TokenRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply, err := b.client.RequestTokens(ctx, holder, r)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.limiter.HandleFailure(b.clock.Now(), c)
	} else {
		l.limiter.HandleReply(b.clock.Now(), c, reply)
	}
	b.step(l)
}

// startDriver starts the driver of the waiting requests unless one runs. The
// caller holds l.mu.
func (b *Borrower) startDriver(l *teamLimiter) {
	if l.driverRunning {
		return
	}
	l.driverRunning = true
	b.tasks.Go(func() error {
		for b.waitAndStep(l) {
			continue
		}

		return nil
	})
}

// waitAndStep waits until the limiter has changed or must decide again. It
// returns false when no request waits or the borrower has stopped.
func (b *Borrower) waitAndStep(l *teamLimiter) bool {
	l.mu.Lock()
	if l.limiter.Waiting() == 0 {
		l.driverRunning = false
		l.mu.Unlock()

		return false
	}
	now := b.clock.Now()
	t := b.clock.After(l.limiter.NextWake(now).Sub(now))
	l.mu.Unlock()
	defer t.Stop()
	select {
	case <-b.stopped:
		return false
	case <-l.wake:
		return true
	case <-t.Due():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(l.team, b.views.View())
	b.step(l)

	return true
}
