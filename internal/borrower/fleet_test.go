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
	leaseTime   = time.Second
	leaseMargin = 50 * time.Millisecond
	callTimeout = 150 * time.Millisecond
	// changeLag bounds the time until a change reaches every VM.
	changeLag = time.Second
)

// fleet drives the real decisions of holders and askers on a hand-moved clock.
// Only the network, the leases and the spread of changes are modelled.
type fleet struct {
	now    timer.Instant
	random *rand.Rand
	events eventQueue
	vms    []*vm
	// holders has the succession of each slot's range; the last is in force.
	holders map[member.Range][]tenure
	epoch   uint64
	// fenced is switched off by the negative control: a VM then never notices
	// that its lease has run out.
	fenced     bool
	team       *manifester.Team
	admissions []timer.Instant
	calls      int
	// exactLatency, if set, is the time of every message.
	exactLatency time.Duration
	// takeover, if set, is the time from a holder's end to its successor's
	// start.
	takeover time.Duration
	// lossShare of the messages are lost.
	lossShare float64
}

// tenure is one VM's time as the holder of a range.
type tenure struct {
	vm    *vm
	term  member.Term
	from  timer.Instant
	until timer.Instant
}

type vm struct {
	number  int
	account *borrower.Account
	ledger  *granter.Ledger
	team    *manifester.Team
	dead    bool
	// frozen is the instant until which the VM does not run.
	frozen timer.Instant
	// stale VMs do not learn of new holders.
	stale bool
	// hints is the holder that the VM asks for each range.
	hints   map[member.Range]*vm
	waiting []pending
	// driven is set while a wake-up is scheduled.
	driven bool
}

type pending struct {
	waiter  *borrower.Waiter
	arrived timer.Instant
	// done is told of the request's end.
	done func(admitted bool)
}

const never = timer.Instant(1 << 62)

func newFleet(seed uint64, vms int, team *manifester.Team) *fleet {
	f := &fleet{
		random:  rand.New(rand.NewPCG(seed, 1)),
		holders: map[member.Range][]tenure{},
		fenced:  true,
		team:    team,
	}
	for range vms {
		f.addVM()
	}
	for slot := range 3 {
		r := granter.SlotRange(team.Name(), slot)
		f.epoch++
		f.install(r, f.vms[f.random.IntN(vms)], 0)
	}

	return f
}

func (f *fleet) addVM() {
	v := &vm{
		number:  len(f.vms),
		account: borrower.NewAccount(f.team),
		ledger:  granter.NewLedger(),
		hints:   map[member.Range]*vm{},
	}
	f.vms = append(f.vms, v)
	for r, t := range f.holders {
		v.hints[r] = t[len(t)-1].vm
	}
	f.learn(v, f.team)
}

// learn puts a manifest with the team's limits into force on one VM.
func (f *fleet) learn(v *vm, team *manifester.Team) {
	v.team = team
	m, err := manifester.Restore(0, nil, []*manifester.Team{team}, nil)
	if err != nil {
		panic(err)
	}
	v.ledger.Configure(f.now, m)
	v.account.Configure(team)
	ranking := make([]int, v.account.Slots())
	for i := range ranking {
		ranking[i] = (v.number + i) % len(ranking)
	}
	v.account.Rank(ranking)
}

// change publishes new limits, which reach each VM at another moment.
func (f *fleet) change(rate, burst float64) {
	f.team = manifester.NewTeam(f.team.Name(), rate, burst, 1, []string{f.team.KeyDigests()[0]})
	for _, v := range f.vms {
		team := f.team
		f.at(f.delay(changeLag), v, func() { f.learn(v, team) })
	}
}

// install makes a VM the holder of a range from an instant on.
func (f *fleet) install(r member.Range, v *vm, from timer.Instant) {
	f.epoch++
	f.holders[r] = append(f.holders[r], tenure{
		vm:    v,
		term:  member.NewTerm(f.epoch, member.Incarnation(v.number)),
		from:  from,
		until: never,
	})
	for _, w := range f.vms {
		if w.stale {
			continue
		}
		f.at(from.Sub(f.now)+f.delay(300*time.Millisecond), w, func() { w.hints[r] = v })
	}
}

// unseat ends the tenures of a VM and installs successors after its lease.
func (f *fleet) unseat(v *vm) {
	for slot := range 3 {
		r := granter.SlotRange(f.team.Name(), slot)
		last := &f.holders[r][len(f.holders[r])-1]
		if last.vm != v || last.until != never {
			continue
		}
		last.until = f.now.Add(f.delay(leaseTime))
		from := last.until.Add(leaseMargin)
		if f.takeover > 0 {
			from = f.now.Add(f.takeover)
		}
		f.install(r, f.alive(), from)
	}
}

// alive returns any VM that runs.
func (f *fleet) alive() *vm {
	for {
		v := f.vms[f.random.IntN(len(f.vms))]
		if !v.dead && !v.frozen.After(f.now) && !v.stale {
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
		if t.vm == v && !f.now.Before(t.from) && (f.now.Before(t.until) || !f.fenced) {
			return t.term, true
		}
	}

	return member.Term{}, false
}

func (f *fleet) delay(most time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(most)))
}

// latency returns the time of one message; a few take very long.
func (f *fleet) latency() time.Duration {
	if f.exactLatency > 0 {
		return f.exactLatency
	}
	if f.random.IntN(200) == 0 {
		return f.delay(400 * time.Millisecond)
	}

	return 500*time.Microsecond + f.delay(2*time.Millisecond)
}

// request is one arrival at a VM; done is told how it ended.
func (f *fleet) request(v *vm, timeout time.Duration, done func(admitted bool)) {
	if v.account.Arrive(f.now) {
		f.done(pending{done: done, arrived: f.now}, true)
		f.step(v)

		return
	}
	w, ok := v.account.Enqueue(f.now, f.now.Add(timeout*3/4))
	if !ok {
		f.done(pending{done: done, arrived: f.now}, false)

		return
	}
	v.waiting = append(v.waiting, pending{
		waiter:  w,
		arrived: f.now,
		done:    done,
	})
	f.step(v)
	f.wake(v)
}

func (f *fleet) done(p pending, admitted bool) {
	if admitted {
		f.admissions = append(f.admissions, f.now)
	}
	p.done(admitted)
}

func (f *fleet) step(v *vm) {
	if o, ok := v.account.Step(f.now); ok {
		f.ask(v, o)
	}
	kept := v.waiting[:0]
	for _, p := range v.waiting {
		select {
		case verdict := <-p.waiter.Verdict():
			f.done(p, verdict.Admitted() && f.now.Before(verdict.Expires()))
		default:
			kept = append(kept, p)
		}
	}
	v.waiting = kept
}

func (f *fleet) wake(v *vm) {
	if v.account.Waiting() == 0 || v.driven {
		return
	}
	v.driven = true
	f.at(v.account.Wake(f.now).Sub(f.now), v, func() {
		v.driven = false
		f.step(v)
		f.wake(v)
	})
}

func (f *fleet) ask(v *vm, o borrower.Order) {
	f.calls++
	r := granter.SlotRange(f.team.Name(), o.Slot())
	holder := v.hints[r]
	ended := false
	end := func(decide func()) {
		if ended {
			return
		}
		ended = true
		decide()
		f.step(v)
	}
	f.at(callTimeout, v, func() { end(func() { v.account.Failed(f.now, o) }) })
	if holder == nil || holder.dead || f.random.Float64() < f.lossShare {
		return
	}
	f.at(f.latency(), holder, func() {
		reply := f.grant(holder, r, granter.NewAsk(f.team.Name(), o.Slot(), o.Needed(), o.Spare()))
		if f.random.Float64() < f.lossShare {
			return
		}
		f.at(f.latency(), v, func() { end(func() { v.account.Granted(f.now, o, reply) }) })
	})
}

func (f *fleet) grant(holder *vm, r member.Range, a granter.Ask) granter.Reply {
	term, ok := f.active(holder, r)
	if !ok {
		return granter.NewRejection(granter.StateNotHolder)
	}

	return holder.ledger.Grant(f.now, term, a)
}

// at lets a VM do something after a time, or when it is no longer frozen.
func (f *fleet) at(d time.Duration, v *vm, do func()) {
	heap.Push(&f.events, event{
		at:    f.now.Add(d),
		order: f.events.pushed(),
		vm:    v,
		do:    do,
	})
}

// run moves time forward to the instant.
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
		if e.vm != nil && e.vm.frozen.After(f.now) {
			e.at = e.vm.frozen
			heap.Push(&f.events, e)

			continue
		}
		e.do()
	}
	f.now = until
}

type event struct {
	at    timer.Instant
	order int
	vm    *vm
	do    func()
}

type eventQueue struct {
	list  []event
	count int
}

func (q *eventQueue) pushed() int {
	q.count++

	return q.count
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
