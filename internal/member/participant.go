package member

import (
	"sort"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Participant holds the decisions of one VM in the core protocol. It does no
// I/O, reads no clock and belongs to one goroutine.
type Participant struct {
	self   VM
	roster *Roster
	// entry began the epoch of roster; nil in epoch 0.
	entry *Entry
	// next is the offset of the next record to apply.
	next recorder.Offset
	// wait is how long a new holder waits for the end of others' leases.
	wait time.Duration

	// acked has, for each member that acknowledged in this epoch, the sending
	// instant of the latest acknowledged ping.
	acked map[Incarnation]timer.Instant
	// adopted are the members known to have adopted this epoch.
	adopted map[Incarnation]bool
	// quorate is set at the first quorum of this epoch, at quorateAt.
	quorate   bool
	quorateAt timer.Instant
	// clean and tainted are the members that acknowledged in this epoch and
	// did not, or did, ban self in the epoch before.
	clean   map[Incarnation]bool
	tainted map[Incarnation]bool
	// previous is the roster of the epoch before; nil where self skipped it.
	previous *Roster
	// carried has the term of each range held on from the epoch before.
	carried map[Range]uint64

	// promised are the members that self has banned in this epoch.
	promised map[Incarnation]bool
	// promises has, for each suspect, the members that have banned it in this
	// epoch.
	promises map[Incarnation]map[Incarnation]bool
	// banned has, for each member whose ban a quorum has promised in this
	// epoch, the instant at which self learned it.
	banned map[Incarnation]timer.Instant
	// lastBan has the latest epoch in which self banned an incarnation.
	lastBan map[Incarnation]uint64

	contacts map[Incarnation]*contact
	// resigned are incarnations that hold nothing any more, for good.
	resigned map[Incarnation]bool
	// refusals has, for each member that has banned self in this epoch, the
	// instant of its latest refusal.
	refusals map[Incarnation]timer.Instant
	// bannedAt is the instant since which the refusals leave no quorum; valid
	// if excluded is set.
	excluded bool
	bannedAt timer.Instant
	// lastRound is the instant of the latest round of pings.
	lastRound timer.Instant

	// tenure is never nil.
	tenure *Tenure
	// grantVersion is the viewVersion for which the tenure's grant was made.
	grantVersion uint64
	// viewVersion changes whenever View would.
	viewVersion uint64
	proposals   proposals
	// began is the instant at which self adopted this epoch.
	began timer.Instant
}

// contact is what one VM has shown of itself.
type contact struct {
	// heard is the instant of the latest message.
	heard timer.Instant
	// leased is the latest instant at which the VM had a lease.
	leased timer.Instant
	// epoch is the highest epoch that it stated.
	epoch uint64
}

// NewParticipant returns the state of a VM that knows of no epoch.
func NewParticipant(self VM, now timer.Instant) *Participant {
	p := &Participant{
		self:     self,
		wait:     takeoverWait,
		lastBan:  map[Incarnation]uint64{},
		contacts: map[Incarnation]*contact{},
		resigned: map[Incarnation]bool{},
		tenure:   noTenure,
	}
	p.begin(newRoster(0, noOffset, nil), nil, now)

	return p
}

// begin adopts a roster.
func (p *Participant) begin(r *Roster, e *Entry, now timer.Instant) {
	p.previous = p.roster
	if p.roster == nil || p.roster.epoch+1 != r.epoch {
		p.previous = nil
	}
	p.roster = r
	p.entry = e
	p.began = now
	p.acked = map[Incarnation]timer.Instant{}
	p.adopted = map[Incarnation]bool{}
	p.quorate = false
	p.clean = map[Incarnation]bool{}
	p.tainted = map[Incarnation]bool{}
	p.carried = map[Range]uint64{}
	p.promised = map[Incarnation]bool{}
	p.promises = map[Incarnation]map[Incarnation]bool{}
	p.banned = map[Incarnation]timer.Instant{}
	p.refusals = map[Incarnation]timer.Instant{}
	p.excluded = false
	p.viewVersion++
	if p.Member() {
		p.adopted[p.self.incarnation] = true
	} else {
		p.tenure = noTenure
	}
	for _, m := range r.members {
		p.meet(m.incarnation, now)
	}
	p.forget(now)
	p.proposals.restart(p.jitter(), now)
}

// forget drops what is known of VMs that are gone, so that restarts do not add
// up.
func (p *Participant) forget(now timer.Instant) {
	for i, c := range p.contacts {
		if !p.roster.has(i) && now.Sub(c.heard) > forgetAfter {
			delete(p.contacts, i)
			delete(p.resigned, i)
		}
	}
	for i, e := range p.lastBan {
		if e+1 < p.roster.epoch {
			delete(p.lastBan, i)
		}
	}
}

// meet returns the contact of an incarnation. A new one gets the time of grace
// of a member that was just heard.
func (p *Participant) meet(i Incarnation, now timer.Instant) *contact {
	c, ok := p.contacts[i]
	if !ok {
		c = &contact{
			heard:  now,
			leased: now,
		}
		p.contacts[i] = c
	}

	return c
}

// Epoch returns the number of the epoch that self has adopted.
func (p *Participant) Epoch() uint64 { return p.roster.epoch }

// Next returns the offset of the next record to apply.
func (p *Participant) Next() recorder.Offset { return p.next }

// Member reports whether self is a member of its epoch.
func (p *Participant) Member() bool { return p.roster.has(p.self.incarnation) }

// Members returns the members of the epoch, ordered by id.
func (p *Participant) Members() []VM { return p.roster.members }

// Tenure returns what self holds.
func (p *Participant) Tenure() *Tenure { return p.tenure }

// ViewVersion returns a number that changes whenever View would.
func (p *Participant) ViewVersion() uint64 { return p.viewVersion }

// View returns the membership. The listed VMs count as peers where they are no
// members.
func (p *Participant) View(listed []VM) *View {
	known := map[ID]bool{
		p.self.id: true,
	}
	var peers []VM
	for _, list := range [][]VM{p.roster.members, listed} {
		for _, v := range list {
			if !known[v.id] {
				known[v.id] = true
				peers = append(peers, v)
			}
		}
	}

	return buildView(p.self, p.roster, sortedByID(peers), p.passed)
}

// passed reports whether the ranges of a member have gone to the next in order.
func (p *Participant) passed(i Incarnation) bool {
	_, banned := p.banned[i]

	return banned || p.resigned[i]
}

// Apply takes the next record of the members stream. It reports whether the
// record began an epoch; the error tells why it did not.
func (p *Participant) Apply(e *Entry, now timer.Instant) (bool, error) {
	if e.offset < p.next {
		return false, nil
	}
	p.next = e.offset + 1
	r, err := p.roster.Next(e.record, e.offset)
	if err != nil {
		return false, err
	}
	p.begin(r, e, now)

	return true, nil
}

// Skip takes the next record of the members stream where it cannot be read.
func (p *Participant) Skip(offset recorder.Offset) {
	p.next = max(p.next, offset+1)
}

// Adopt takes an entry that another VM has accepted. It reports whether the
// entry began a later epoch than the one that self had.
func (p *Participant) Adopt(e *Entry, now timer.Instant) bool {
	if e == nil || e.record.epoch <= p.roster.epoch {
		return false
	}
	p.next = max(p.next, e.offset+1)
	p.begin(begun(e), e, now)

	return true
}

// Resign gives up every range for good. Self goes on as a witness.
func (p *Participant) Resign() {
	p.resigned[p.self.incarnation] = true
	p.tenure = noTenure
	p.viewVersion++
}

// Resigned reports whether self gave up every range.
func (p *Participant) Resigned() bool {
	return p.resigned[p.self.incarnation]
}

// Ping returns the ping to send to a VM now.
func (p *Participant) Ping(to Incarnation, now timer.Instant) *Ping {
	s := PingSpec{
		From:     p.self,
		Epoch:    p.roster.epoch,
		Leased:   p.tenure.Leased(now),
		Resigned: p.Resigned(),
		Suspects: p.suspects(now),
		Banned:   sortedKeys(p.banned),
	}
	if c, ok := p.contacts[to]; !ok || c.epoch < p.roster.epoch {
		s.Entry = p.entry
	}

	return NewPing(s)
}

// HandlePing answers a ping.
func (p *Participant) HandlePing(m *Ping, now timer.Instant) *Reply {
	p.Adopt(m.entry, now)
	from := m.from.incarnation
	c := p.meet(from, now)
	c.hear(m.epoch, m.leased, now)
	p.noteResigned(from, m.resigned)
	s := ReplySpec{
		From:     p.self.incarnation,
		Epoch:    p.roster.epoch,
		Resigned: p.Resigned(),
	}
	if m.epoch < p.roster.epoch {
		s.Entry = p.entry
	}
	if m.epoch == p.roster.epoch {
		p.noteAdopted(from)
		p.learnBans(m.banned, now)
		s.Refused = p.promised[from]
		s.Acknowledged = !s.Refused && p.Member()
		s.Tainted = p.roster.epoch > 0 && p.lastBan[from] == p.roster.epoch-1
		s.Promised = p.answerSuspects(m, now)
		s.Banned = sortedKeys(p.banned)
	}
	p.Refresh(now)

	return NewReply(s)
}

// HandleReply takes the answer to a ping that was sent in the epoch at sent.
func (p *Participant) HandleReply(m *Reply, epoch uint64, sent, now timer.Instant) {
	p.Adopt(m.entry, now)
	c := p.meet(m.from, now)
	c.hear(m.epoch, false, now)
	p.noteResigned(m.from, m.resigned)
	if m.epoch != p.roster.epoch {
		return
	}
	p.noteAdopted(m.from)
	p.learnBans(m.banned, now)
	for _, i := range m.promised {
		p.count(i, m.from, now)
	}
	if epoch == p.roster.epoch {
		p.noteAnswer(m, sent, now)
	}
	p.Refresh(now)
}

// noteAnswer takes an acknowledgement or a refusal in this epoch.
func (p *Participant) noteAnswer(m *Reply, sent, now timer.Instant) {
	if !p.roster.has(m.from) {
		return
	}
	if m.refused {
		p.noteRefusal(m.from, now)
	}
	if m.acknowledged {
		p.acked[m.from] = max(p.acked[m.from], sent)
		p.clean[m.from] = !m.tainted
		if m.tainted {
			p.tainted[m.from] = true
		}
	}
}

func (c *contact) hear(epoch uint64, leased bool, now timer.Instant) {
	c.heard = now
	c.epoch = max(c.epoch, epoch)
	if leased {
		c.leased = now
	}
}

func (p *Participant) noteAdopted(i Incarnation) {
	if p.roster.has(i) {
		p.adopted[i] = true
	}
}

func (p *Participant) noteResigned(i Incarnation, resigned bool) {
	if resigned && !p.resigned[i] {
		p.resigned[i] = true
		p.viewVersion++
	}
}

// sortedKeys returns the incarnations of a map in order.
func sortedKeys[T any](m map[Incarnation]T) []Incarnation {
	out := make([]Incarnation, 0, len(m))
	for i := range m {
		out = append(out, i)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })

	return out
}
