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
	// step is the time that passes between two looks at the world.
	step = 25 * time.Millisecond
	// listPeriod is the time between two lists of the platform.
	listPeriod = time.Second
)

// node is one VM of the world with the real decisions.
type node struct {
	vm        member.VM
	p         *member.Participant
	sightings *member.Sightings
	// rate is the speed of the VM's clock against the world's.
	rate float64
	// born is the world's time at the start of the process.
	born      time.Duration
	nextRound time.Duration
	nextList  time.Duration
	frozen    bool
	// deaf VMs do not reach the log.
	deaf bool
	// inbox has what arrived and was not handled yet.
	inbox []message
}

func (n *node) clock(now time.Duration) timer.Instant {
	return timer.Instant(float64(now-n.born)*n.rate) + timer.Instant(time.Hour)
}

// message is a ping or a reply on its way.
type message struct {
	from, to member.Incarnation
	at       time.Duration
	ping     *member.Ping
	reply    *member.Reply
	epoch    uint64
	sent     timer.Instant
}

// world is a fleet in memory: VMs, links, the log and the platform's list.
type world struct {
	now   time.Duration
	rng   *rand.Rand
	nodes map[member.ID]*node
	// all are the ids in order of their first start.
	all     []member.ID
	sent    []message
	records []*member.Record
	logDown bool
	// cut has the one-way links that lose every message.
	cut map[[2]member.ID]bool
	// loss is the share of messages lost, latency the longest delay.
	loss    float64
	latency time.Duration
	// listed has the time from which the list names each VM, unlisted the
	// time from which it does not.
	listed, unlisted map[member.ID]time.Duration
	next             member.Incarnation
	// broken is a way of breaking the protocol, or "".
	broken string
	skew   bool
}

func newWorld(seed int64, size int) *world {
	w := &world{
		rng:      rand.New(rand.NewSource(seed)),
		nodes:    map[member.ID]*node{},
		cut:      map[[2]member.ID]bool{},
		latency:  step,
		listed:   map[member.ID]time.Duration{},
		unlisted: map[member.ID]time.Duration{},
		next:     100,
	}
	for range size {
		w.add()
	}

	return w
}

// add starts a VM that the platform has not had before.
func (w *world) add() member.ID {
	id := member.ID(fmt.Sprintf("vm-%d", len(w.all)+1))
	w.all = append(w.all, id)
	w.listed[id] = w.now
	w.start(id)

	return id
}

// start starts the process of a VM.
func (w *world) start(id member.ID) {
	w.next++
	vm := member.NewVM(id, w.next, string(id)+":1", "kandy")
	n := &node{
		vm:        vm,
		sightings: member.NewSightings(id),
		rate:      1,
		born:      w.now,
		nextRound: w.now,
		nextList:  w.now,
	}
	if w.skew {
		n.rate = 0.96 + 0.08*w.rng.Float64()
	}
	n.p = member.NewParticipant(vm, n.clock(w.now))
	if w.broken == member.BreakWait {
		n.p.SetWait(0)
	}
	w.nodes[id] = n
}

func (w *world) kill(id member.ID) { delete(w.nodes, id) }

// remove takes a VM away for good, as the platform does.
func (w *world) remove(id member.ID) {
	w.kill(id)
	w.unlisted[id] = w.now + time.Second
}

func (w *world) freeze(id member.ID, frozen bool) {
	if n := w.nodes[id]; n != nil {
		n.frozen = frozen
	}
}

func (w *world) ordered() []*node {
	out := make([]*node, 0, len(w.nodes))
	for _, id := range w.all {
		if n := w.nodes[id]; n != nil {
			out = append(out, n)
		}
	}

	return out
}

func (w *world) run(d time.Duration, look func()) {
	for end := w.now + d; w.now < end; {
		w.advance()
		if look != nil {
			look()
		}
	}
}

// advance moves the world by one step.
func (w *world) advance() {
	w.now += step
	w.deliver()
	for _, n := range w.ordered() {
		if !n.frozen {
			w.act(n)
		}
	}
}

func (w *world) deliver() {
	var rest []message
	for _, m := range w.sent {
		if m.at > w.now {
			rest = append(rest, m)

			continue
		}
		if n := w.byIncarnation(m.to); n != nil {
			n.inbox = append(n.inbox, m)
		}
	}
	w.sent = rest
}

func (w *world) byIncarnation(i member.Incarnation) *node {
	for _, n := range w.nodes {
		if n.vm.Incarnation() == i {
			return n
		}
	}

	return nil
}

// act lets a VM do everything that is due.
func (w *world) act(n *node) {
	epoch := n.p.Epoch()
	inbox := n.inbox
	n.inbox = nil
	for _, m := range inbox {
		w.handle(n, m)
	}
	w.read(n)
	if w.now >= n.nextList {
		n.nextList = w.now + listPeriod
		n.sightings.Update(w.list(), n.clock(w.now))
	}
	if w.now >= n.nextRound || n.p.Epoch() != epoch {
		n.nextRound = w.now + member.PingPeriod
		w.round(n)
	}
	n.p.Refresh(n.clock(w.now))
	w.propose(n)
}

func (w *world) handle(n *node, m message) {
	now := n.clock(w.now)
	if m.ping != nil {
		if w.broken == member.BreakBans {
			n.p.ForgetPromises()
		}
		r := n.p.HandlePing(m.ping, now)
		if w.broken == member.BreakAcks {
			r = r.AcknowledgeAny(m.ping.Epoch())
		}
		w.send(n, m.from, message{reply: r, epoch: m.epoch, sent: m.sent})

		return
	}
	sent := m.sent
	if w.broken == member.BreakSent {
		sent = now
	}
	n.p.HandleReply(m.reply, m.epoch, sent, now)
}

func (w *world) read(n *node) {
	if w.logDown || n.deaf {
		return
	}
	for o := n.p.Next(); o < recorder.Offset(len(w.records)); o = n.p.Next() {
		_, _ = n.p.Apply(member.NewEntry(o, w.records[o]), n.clock(w.now))
	}
}

func (w *world) list() []member.ID {
	var out []member.ID
	for _, id := range w.all {
		gone, ended := w.unlisted[id]
		if w.now >= w.listed[id] && (!ended || w.now < gone) {
			out = append(out, id)
		}
	}

	return out
}

func (w *world) round(n *node) {
	now := n.clock(w.now)
	n.p.StartRound(now)
	targets := n.p.Members()
	if len(targets) == 0 {
		for _, o := range w.ordered() {
			targets = append(targets, o.vm)
		}
	}
	for _, v := range targets {
		if v.ID() != n.vm.ID() {
			p := n.p.Ping(v.Incarnation(), now)
			w.send(n, v.Incarnation(), message{ping: p, epoch: p.Epoch(), sent: now})
		}
	}
}

func (w *world) send(n *node, to member.Incarnation, m message) {
	other := w.byIncarnation(to)
	if other == nil || w.cut[[2]member.ID{n.vm.ID(), other.vm.ID()}] || w.rng.Float64() < w.loss {
		return
	}
	m.from = n.vm.Incarnation()
	m.to = to
	m.at = w.now + time.Duration(w.rng.Int63n(int64(w.latency)+1))
	w.sent = append(w.sent, m)
}

func (w *world) propose(n *node) {
	now := n.clock(w.now)
	r := n.p.Propose(n.sightings, now)
	if r == nil {
		return
	}
	n.p.ProposalSent(now)
	if !w.logDown && !n.deaf {
		w.records = append(w.records, r)
	}
}

// doubled returns a range with two active holders at this moment, or "".
func (w *world) doubled() string {
	var holders [member.RangeCount]member.ID
	for _, n := range w.ordered() {
		if n.frozen {
			continue
		}
		t := n.p.Tenure()
		now := n.clock(w.now)
		for r := range member.Range(member.RangeCount) {
			if _, ok := t.Active(r, now); !ok {
				continue
			}
			if holders[r] != "" {
				return fmt.Sprintf("at %v range %d is held by %s and %s", w.now, r, holders[r], n.vm.ID())
			}
			holders[r] = n.vm.ID()
		}
	}

	return ""
}

// active returns the number of ranges with an active holder.
func (w *world) active() int {
	total := 0
	for _, n := range w.ordered() {
		if !n.frozen {
			total += n.p.Tenure().Count(n.clock(w.now))
		}
	}

	return total
}

// holdings tells who is active on how many ranges.
func (w *world) holdings() string {
	var parts []string
	for _, n := range w.ordered() {
		if c := n.p.Tenure().Count(n.clock(w.now)); c > 0 && !n.frozen {
			parts = append(parts, fmt.Sprintf("%s=%d", n.vm.ID(), c))
		}
	}
	sort.Strings(parts)
	if len(parts) == 0 {
		return "nobody"
	}

	return strings.Join(parts, " ")
}

// epoch returns the highest epoch of any VM.
func (w *world) epoch() uint64 {
	var e uint64
	for _, n := range w.nodes {
		e = max(e, n.p.Epoch())
	}

	return e
}
