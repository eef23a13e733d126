package member_test

import (
	"fmt"
	"math/rand"
	"sort"
	"strings"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// step is the time by which the simulation advances at once.
	step = 25 * time.Millisecond
	// listPeriod is the time between two requests for the platform's list.
	listPeriod = time.Second
)

// node is one VM of the simulation; it runs the real Participant.
type node struct {
	vm          member.VM
	p           *member.Participant
	listHistory *member.ListHistory
	// rate is the speed of the VM's clock relative to the simulated time.
	rate float64
	// startedAt is the simulated time at which the process started.
	startedAt time.Duration
	nextRound time.Duration
	nextList  time.Duration
	paused    bool
	// logUnreachable is set if the VM can neither read nor append to the log.
	logUnreachable bool
	// inbox has the messages that arrived and were not handled yet.
	inbox []message
}

func (n *node) clock(now time.Duration) timer.Instant {
	return timer.Instant(float64(now-n.startedAt)*n.rate) + timer.Instant(time.Hour)
}

// message is a ping or a reply in transit.
type message struct {
	from, to member.Incarnation
	at       time.Duration
	ping     *member.Ping
	reply    *member.Reply
	epoch    uint64
	sent     timer.Instant
}

// fleet simulates VMs, the links between them, the log and the platform's list
// in memory.
type fleet struct {
	now   time.Duration
	rng   *rand.Rand
	nodes map[member.ID]*node
	// all are the ids in order of their first start.
	all       []member.ID
	inTransit []message
	records   []*member.Record
	logDown   bool
	// cut has the one-way links, from the first to the second VM, that lose
	// every message.
	cut map[[2]member.ID]bool
	// loss is the proportion of messages lost, latency the longest delay.
	loss    float64
	latency time.Duration
	// listed maps each VM to the time from which the list names it, unlisted to
	// the time from which it no longer does.
	listed, unlisted map[member.ID]time.Duration
	// lastIncarnation is that of the latest start of any VM.
	lastIncarnation member.Incarnation
	// mutation is one of the Mutation constants, or "".
	mutation string
	// skew makes the clocks of VMs that start from then on run at rates from 0.96
	// to 1.04.
	skew bool
}

func newFleet(seed int64, size int) *fleet {
	f := &fleet{
		rng:             rand.New(rand.NewSource(seed)),
		nodes:           map[member.ID]*node{},
		cut:             map[[2]member.ID]bool{},
		latency:         step,
		listed:          map[member.ID]time.Duration{},
		unlisted:        map[member.ID]time.Duration{},
		lastIncarnation: 100,
	}
	for range size {
		f.add()
	}

	return f
}

// add starts a new VM, which the platform lists at once.
func (f *fleet) add() member.ID {
	id := member.ID(fmt.Sprintf("vm-%d", len(f.all)+1))
	f.all = append(f.all, id)
	f.listed[id] = f.now
	f.start(id)

	return id
}

// start starts a new incarnation of a VM.
func (f *fleet) start(id member.ID) {
	f.lastIncarnation++
	vm := member.NewVM(id, f.lastIncarnation, string(id)+":1", "kandy")
	n := &node{
		vm:          vm,
		listHistory: member.NewListHistory(id),
		rate:        1,
		startedAt:   f.now,
		nextRound:   f.now,
		nextList:    f.now,
	}
	if f.skew {
		n.rate = 0.96 + 0.08*f.rng.Float64()
	}
	n.p = member.NewParticipant(vm, n.clock(f.now))
	if f.mutation == member.MutationNoWait {
		n.p.SetWait(0)
	}
	f.nodes[id] = n
}

func (f *fleet) kill(id member.ID) { delete(f.nodes, id) }

// remove kills a VM permanently; the platform's list names it for one more
// second.
func (f *fleet) remove(id member.ID) {
	f.kill(id)
	f.unlisted[id] = f.now + time.Second
}

func (f *fleet) setPaused(id member.ID, paused bool) {
	if n := f.nodes[id]; n != nil {
		n.paused = paused
	}
}

func (f *fleet) ordered() []*node {
	out := make([]*node, 0, len(f.nodes))
	for _, id := range f.all {
		if n := f.nodes[id]; n != nil {
			out = append(out, n)
		}
	}

	return out
}

func (f *fleet) run(d time.Duration, observe func()) {
	for end := f.now + d; f.now < end; {
		f.advance()
		if observe != nil {
			observe()
		}
	}
}

// advance moves the simulation forward by one step.
func (f *fleet) advance() {
	f.now += step
	f.deliver()
	for _, n := range f.ordered() {
		if !n.paused {
			f.runDue(n)
		}
	}
}

func (f *fleet) deliver() {
	var rest []message
	for _, m := range f.inTransit {
		if m.at > f.now {
			rest = append(rest, m)

			continue
		}
		if n := f.byIncarnation(m.to); n != nil {
			n.inbox = append(n.inbox, m)
		}
	}
	f.inTransit = rest
}

func (f *fleet) byIncarnation(i member.Incarnation) *node {
	for _, n := range f.nodes {
		if n.vm.Incarnation() == i {
			return n
		}
	}

	return nil
}

// runDue runs everything that is due on a VM.
func (f *fleet) runDue(n *node) {
	epoch := n.p.Epoch()
	inbox := n.inbox
	n.inbox = nil
	for _, m := range inbox {
		f.handle(n, m)
	}
	f.read(n)
	if f.now >= n.nextList {
		n.nextList = f.now + listPeriod
		n.listHistory.Update(f.list(), n.clock(f.now))
	}
	if f.now >= n.nextRound || n.p.Epoch() != epoch {
		n.nextRound = f.now + member.PingPeriod
		f.round(n)
	}
	n.p.RefreshLease(n.clock(f.now))
	f.propose(n)
}

func (f *fleet) handle(n *node, m message) {
	now := n.clock(f.now)
	if m.ping != nil {
		if f.mutation == member.MutationDropPromises {
			n.p.DropPromises()
		}
		r := n.p.HandlePing(m.ping, now)
		if f.mutation == member.MutationAckLowerEpoch {
			r = r.AcknowledgeAny(m.ping.Epoch())
		}
		f.send(n, m.from, message{reply: r, epoch: m.epoch, sent: m.sent})

		return
	}
	sent := m.sent
	if f.mutation == member.MutationLeaseFromReply {
		sent = now
	}
	n.p.HandleReply(m.reply, m.epoch, sent, now)
}

func (f *fleet) read(n *node) {
	if f.logDown || n.logUnreachable {
		return
	}
	for o := n.p.Next(); o < recorder.Offset(len(f.records)); o = n.p.Next() {
		_, _ = n.p.Apply(member.NewEntry(o, f.records[o]), n.clock(f.now))
	}
}

func (f *fleet) list() []member.ID {
	var out []member.ID
	for _, id := range f.all {
		gone, ended := f.unlisted[id]
		if f.now >= f.listed[id] && (!ended || f.now < gone) {
			out = append(out, id)
		}
	}

	return out
}

func (f *fleet) round(n *node) {
	now := n.clock(f.now)
	n.p.StartRound(now)
	targets := n.p.Members()
	if len(targets) == 0 {
		for _, o := range f.ordered() {
			targets = append(targets, o.vm)
		}
	}
	for _, v := range targets {
		if v.ID() != n.vm.ID() {
			p := n.p.Ping(v.Incarnation(), now)
			f.send(n, v.Incarnation(), message{ping: p, epoch: p.Epoch(), sent: now})
		}
	}
}

func (f *fleet) send(n *node, to member.Incarnation, m message) {
	other := f.byIncarnation(to)
	if other == nil || f.cut[[2]member.ID{n.vm.ID(), other.vm.ID()}] || f.rng.Float64() < f.loss {
		return
	}
	m.from = n.vm.Incarnation()
	m.to = to
	m.at = f.now + time.Duration(f.rng.Int63n(int64(f.latency)+1))
	f.inTransit = append(f.inTransit, m)
}

func (f *fleet) propose(n *node) {
	now := n.clock(f.now)
	r := n.p.Propose(n.listHistory, now)
	if r == nil {
		return
	}
	n.p.ProposalSent(now)
	if !f.logDown && !n.logUnreachable {
		f.records = append(f.records, r)
	}
}

// doubleHolder describes a range that has two active holders now, or returns "".
func (f *fleet) doubleHolder() string {
	var holders [member.RangeCount]member.ID
	for _, n := range f.ordered() {
		if n.paused {
			continue
		}
		t := n.p.Lease()
		now := n.clock(f.now)
		for r := range member.Range(member.RangeCount) {
			if _, ok := t.Active(r, now); !ok {
				continue
			}
			if holders[r] != "" {
				return fmt.Sprintf("at %v range %d is held by %s and %s", f.now, r, holders[r], n.vm.ID())
			}
			holders[r] = n.vm.ID()
		}
	}

	return ""
}

// active returns the number of ranges that have an active holder.
func (f *fleet) active() int {
	total := 0
	for _, n := range f.ordered() {
		if !n.paused {
			total += n.p.Lease().Count(n.clock(f.now))
		}
	}

	return total
}

// holdings describes how many ranges each VM is active for.
func (f *fleet) holdings() string {
	var parts []string
	for _, n := range f.ordered() {
		if c := n.p.Lease().Count(n.clock(f.now)); c > 0 && !n.paused {
			parts = append(parts, fmt.Sprintf("%s=%d", n.vm.ID(), c))
		}
	}
	sort.Strings(parts)
	if len(parts) == 0 {
		return "no active holder"
	}

	return strings.Join(parts, " ")
}

// epoch returns the highest epoch of any VM.
func (f *fleet) epoch() uint64 {
	var e uint64
	for _, n := range f.nodes {
		e = max(e, n.p.Epoch())
	}

	return e
}
