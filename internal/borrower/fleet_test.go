package borrower_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/borrower"
	"github.com/lagoonkeel/lagoonkeel/internal/granter"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	leaseDuration = time.Second
	leaseMargin   = 50 * time.Millisecond
	callTimeout   = 150 * time.Millisecond
	// changeLag bounds the time until new limits reach every VM.
	changeLag = time.Second
)

// fleet runs the real limiters and token buckets of several VMs on a simulated
// clock. Only the network, the leases and the propagation of changes are modelled.
type fleet struct {
	now    timer.Instant
	random *rand.Rand
	events eventQueue
	vms    []*vm
	// holders has the tenures of each slot's range in order; the last is the
	// current one.
	holders map[member.Range][]tenure
	epoch   uint64
	// leaseChecked is false in TestAdmissionWindowsWithoutLeaseCheck: a VM then does
	// not notice that its lease has expired.
	leaseChecked bool
	team         *manifester.Team
	admissions   []timer.Instant
	calls        int
	// fixedLatency, if set, is the latency of every message.
	fixedLatency time.Duration
	// takeover, if set, is the time from the loss of a holder to the start of
	// its successor.
	takeover time.Duration
	// lossRate is the share of the messages that are lost.
	lossRate float64
}

// tenure is the time during which one VM is the holder of a range.
type tenure struct {
	vm    *vm
	term  member.Term
	from  timer.Instant
	until timer.Instant
}

type vm struct {
	number  int
	limiter *borrower.Limiter
	buckets *granter.Allocator
	team    *manifester.Team
	dead    bool
	// frozenUntil is the instant until which the VM is suspended.
	frozenUntil timer.Instant
	// stale VMs do not learn of new holders.
	stale bool
	// knownHolders has the VM that this VM asks for each range.
	knownHolders map[member.Range]*vm
	waiting      []pendingRequest
	// wakeScheduled is set while the event of the next wake-up is pending.
	wakeScheduled bool
}

type pendingRequest struct {
	waiter  *borrower.Waiter
	arrived timer.Instant
	// done is called with the outcome of the request.
	done func(admitted bool)
}

// noEnd is the until of a tenure that has not ended.
const noEnd = timer.Instant(1 << 62)

func newFleet(seed uint64, vms int, team *manifester.Team) *fleet {
	f := &fleet{
		random:       rand.New(rand.NewPCG(seed, 1)),
		holders:      map[member.Range][]tenure{},
		leaseChecked: true,
		team:         team,
	}
	for range vms {
		f.addVM()
	}
	for slot := range 3 {
		r := granter.SlotRange(team.Name(), slot)
		f.epoch++
		f.setHolder(r, f.vms[f.random.IntN(vms)], 0)
	}

	return f
}

func (f *fleet) addVM() {
	v := &vm{
		number:       len(f.vms),
		limiter:      borrower.NewLimiter(f.team),
		buckets:      granter.NewAllocator(),
		knownHolders: map[member.Range]*vm{},
	}
	f.vms = append(f.vms, v)
	for r, t := range f.holders {
		v.knownHolders[r] = t[len(t)-1].vm
	}
	f.configure(v, f.team)
}

// configure applies a manifest with the team's limits on one VM.
func (f *fleet) configure(v *vm, team *manifester.Team) {
	v.team = team
	m, err := manifester.Restore(0, nil, []*manifester.Team{team}, nil)
	if err != nil {
		panic(err)
	}
	v.buckets.Configure(f.now, m)
	v.limiter.Configure(team)
	// VMs ask the holders of the slots in different orders.
	slotOrder := make([]int, v.limiter.Slots())
	for i := range slotOrder {
		slotOrder[i] = (v.number + i) % len(slotOrder)
	}
	v.limiter.Rank(slotOrder)
}

// changeLimits publishes new limits, which reach each VM after a random delay of
// less than changeLag.
func (f *fleet) changeLimits(rate, burst float64) {
	f.team = manifester.NewTeam(f.team.Name(), rate, burst, 1, []string{f.team.KeyDigests()[0]})
	for _, v := range f.vms {
		team := f.team
		f.schedule(f.randomDelay(changeLag), v, func() { f.configure(v, team) })
	}
}

// setHolder makes a VM the holder of a range from the given instant on.
func (f *fleet) setHolder(r member.Range, v *vm, from timer.Instant) {
	f.epoch++
	f.holders[r] = append(f.holders[r], tenure{
		vm:    v,
		term:  member.NewTerm(f.epoch, member.Incarnation(v.number)),
		from:  from,
		until: noEnd,
	})
	for _, w := range f.vms {
		if w.stale {
			continue
		}
		f.schedule(from.Sub(f.now)+f.randomDelay(300*time.Millisecond), w, func() { w.knownHolders[r] = v })
	}
}

// replaceHolder ends the tenures of a VM within the duration of a lease and sets
// successors. A successor starts leaseMargin after that end or, if takeover is set,
// takeover from now.
func (f *fleet) replaceHolder(v *vm) {
	for slot := range 3 {
		r := granter.SlotRange(f.team.Name(), slot)
		last := &f.holders[r][len(f.holders[r])-1]
		if last.vm != v || last.until != noEnd {
			continue
		}
		last.until = f.now.Add(f.randomDelay(leaseDuration))
		from := last.until.Add(leaseMargin)
		if f.takeover > 0 {
			from = f.now.Add(f.takeover)
		}
		f.setHolder(r, f.randomRunning(), from)
	}
}

// randomRunning returns a random VM that is neither dead, frozen nor stale.
func (f *fleet) randomRunning() *vm {
	for {
		v := f.vms[f.random.IntN(len(f.vms))]
		if !v.dead && !v.frozenUntil.After(f.now) && !v.stale {
			return v
		}
	}
}

func (f *fleet) holder(slot int) *vm {
	t := f.holders[granter.SlotRange(f.team.Name(), slot)]

	return t[len(t)-1].vm
}

func (f *fleet) active(v *vm, r member.Range) (member.Term, bool) {
	for _, t := range f.holders[r] {
		if t.vm == v && !f.now.Before(t.from) && (f.now.Before(t.until) || !f.leaseChecked) {
			return t.term, true
		}
	}

	return member.Term{}, false
}

func (f *fleet) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

// latency returns the latency of one message. One in 200 messages may take up to
// 400 ms.
func (f *fleet) latency() time.Duration {
	if f.fixedLatency > 0 {
		return f.fixedLatency
	}
	if f.random.IntN(200) == 0 {
		return f.randomDelay(400 * time.Millisecond)
	}

	return 500*time.Microsecond + f.randomDelay(2*time.Millisecond)
}

// request sends one request to a VM; done is called with its outcome.
func (f *fleet) request(v *vm, timeout time.Duration, done func(admitted bool)) {
	if v.limiter.TryAdmit(f.now) {
		f.finish(pendingRequest{done: done, arrived: f.now}, true)
		f.step(v)

		return
	}
	// The part of the timeout is that of Borrower.Admit (waitShare).
	w, ok := v.limiter.Enqueue(f.now, f.now.Add(timeout*3/4))
	if !ok {
		f.finish(pendingRequest{done: done, arrived: f.now}, false)

		return
	}
	v.waiting = append(v.waiting, pendingRequest{
		waiter:  w,
		arrived: f.now,
		done:    done,
	})
	f.step(v)
	f.scheduleWake(v)
}

func (f *fleet) finish(p pendingRequest, admitted bool) {
	if admitted {
		f.admissions = append(f.admissions, f.now)
	}
	p.done(admitted)
}

// step starts the call to a holder that is due, if any, and finishes the requests that
// have their verdicts.
func (f *fleet) step(v *vm) {
	if c, ok := v.limiter.Step(f.now); ok {
		f.callHolder(v, c)
	}
	kept := v.waiting[:0]
	for _, p := range v.waiting {
		select {
		case verdict := <-p.waiter.Verdict():
			f.finish(p, verdict.Admitted() && f.now.Before(verdict.Expires()))
		default:
			kept = append(kept, p)
		}
	}
	v.waiting = kept
}

func (f *fleet) scheduleWake(v *vm) {
	if v.limiter.Waiting() == 0 || v.wakeScheduled {
		return
	}
	v.wakeScheduled = true
	f.schedule(v.limiter.NextWake(f.now).Sub(f.now), v, func() {
		v.wakeScheduled = false
		f.step(v)
		f.scheduleWake(v)
	})
}

func (f *fleet) callHolder(v *vm, c borrower.Call) {
	f.calls++
	r := granter.SlotRange(f.team.Name(), c.Slot())
	holder := v.knownHolders[r]
	completed := false
	complete := func(handle func()) {
		if completed {
			return
		}
		completed = true
		handle()
		f.step(v)
	}
	f.schedule(callTimeout, v, func() { complete(func() { v.limiter.HandleFailure(f.now, c) }) })
	if holder == nil || holder.dead || f.random.Float64() < f.lossRate {
		return
	}
	f.schedule(f.latency(), holder, func() {
		reply := f.grant(holder, r, granter.NewTokenRequest(f.team.Name(), c.Slot(), c.Needed(), c.Spare()))
		if f.random.Float64() < f.lossRate {
			return
		}
		f.schedule(f.latency(), v, func() { complete(func() { v.limiter.HandleReply(f.now, c, reply) }) })
	})
}

func (f *fleet) grant(holder *vm, r member.Range, request granter.TokenRequest) granter.Reply {
	term, ok := f.active(holder, r)
	if !ok {
		return granter.NewRejection(granter.StateNotHolder)
	}

	return holder.buckets.Grant(f.now, term, request)
}

// schedule runs an action on a VM after a delay, or later, once the VM is no
// longer frozen. It does not run on a dead VM. v is nil for an action on no VM.
func (f *fleet) schedule(d time.Duration, v *vm, action func()) {
	heap.Push(&f.events, event{
		at:     f.now.Add(d),
		order:  f.events.nextOrder(),
		vm:     v,
		action: action,
	})
}

// run processes the events that are due by the instant and moves the clock to it.
func (f *fleet) run(until timer.Instant) {
	for f.events.Len() > 0 && !f.events.list[0].at.After(until) {
		e, ok := heap.Pop(&f.events).(event)
		if !ok {
			return
		}
		f.now = max(f.now, e.at)
		if e.vm != nil && e.vm.dead {
			continue
		}
		if e.vm != nil && e.vm.frozenUntil.After(f.now) {
			e.at = e.vm.frozenUntil
			heap.Push(&f.events, e)

			continue
		}
		e.action()
	}
	f.now = until
}

type event struct {
	at     timer.Instant
	order  int
	vm     *vm
	action func()
}

type eventQueue struct {
	list      []event
	pushCount int
}

func (q *eventQueue) nextOrder() int {
	q.pushCount++

	return q.pushCount
}

func (q *eventQueue) Len() int { return len(q.list) }

func (q *eventQueue) Less(i, j int) bool {
	a, b := q.list[i], q.list[j]
	if a.at != b.at {
		return a.at < b.at
	}

	return a.order < b.order
}

func (q *eventQueue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }

func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		q.list = append(q.list, e)
	}
}

func (q *eventQueue) Pop() any {
	last := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]

	return last
}
