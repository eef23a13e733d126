package member

import (
	"sort"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Participant is the state machine of the membership protocol on one VM. It
// does no I/O and reads no clock. It is not safe for concurrent use.
type Participant struct {
	self   VM
	roster *Roster
	// entry began the epoch of roster; nil if no record began it.
	entry *Entry
	// next is the offset of the next record to apply.
	next recorder.Offset
	// wait is how long a new holder waits for the leases of other VMs to end.
	wait time.Duration

	// acked maps each member that acknowledged in this epoch to the time at
	// which the latest acknowledged ping was sent.
	acked map[Incarnation]timer.Instant
	// adopters are the members known to have adopted this epoch.
	adopters map[Incarnation]bool
	// hasQuorum is set at the first quorum of acknowledgements in this epoch;
	// quorumAt is the time of that quorum.
	hasQuorum bool
	quorumAt  timer.Instant
	// reportedBan are the members that reported, with an acknowledgement in this
	// epoch, that they promised to ban this VM in the previous epoch.
	// reportedNoBan maps each member that acknowledged in this epoch to whether its
	// latest acknowledgement reported no such promise.
	reportedNoBan map[Incarnation]bool
	reportedBan   map[Incarnation]bool
	// previous is the roster of the previous epoch; nil if this VM skipped it.
	previous *Roster
	// retained maps each range that this VM keeps holding from the previous
	// epoch to the epoch in which its term began.
	retained map[Range]uint64

	// promised are the members that this VM has promised to ban in this epoch.
	promised map[Incarnation]bool
	// banPromises maps each suspect to the members that have promised to ban it
	// in this epoch.
	banPromises map[Incarnation]map[Incarnation]bool
	// banned maps each member that a quorum has promised to ban in this epoch to
	// the time at which this VM learned of it.
	banned map[Incarnation]timer.Instant
	// lastBanEpoch maps incarnations to the latest epoch in which this VM
	// promised to ban them.
	lastBanEpoch map[Incarnation]uint64

	peers map[Incarnation]*peerState
	// resigned are the incarnations that have given up all ranges permanently.
	resigned map[Incarnation]bool
	// refusals maps each member that has promised to ban this VM in this epoch to
	// the time of its latest refusal.
	refusals map[Incarnation]timer.Instant
	// excluded is set once the members that have not refused are fewer than a
	// quorum; excludedAt is the time of the refusal that set it.
	excluded   bool
	excludedAt timer.Instant
	// lastRound is the time of the latest round of pings.
	lastRound timer.Instant

	// lease is never nil.
	lease *Lease
	// assignmentVersion is the viewVersion for which the lease's assignment was
	// made.
	assignmentVersion uint64
	// viewVersion changes whenever the result of View changes for the same
	// argument.
	viewVersion uint64
	pacer       pacer
	// adoptedAt is the time at which this VM adopted this epoch.
	adoptedAt timer.Instant
}

// peerState is what the messages of another VM have reported.
type peerState struct {
	// lastHeard is the time of the latest message. The creation of this state and
	// the end of a pause of this process count as a message, so that silence is
	// counted from them.
	lastHeard timer.Instant
	// lastLeased is the latest time at which the VM reported a valid lease. The
	// creation of this state and the end of a pause count as such a report.
	lastLeased timer.Instant
	// epoch is the highest epoch that the VM reported.
	epoch uint64
}

// NewParticipant returns the state of a VM in epoch 0, which has no members.
func NewParticipant(self VM, now timer.Instant) *Participant {
	p := &Participant{
		self:         self,
		wait:         takeoverWait,
		lastBanEpoch: map[Incarnation]uint64{},
		peers:        map[Incarnation]*peerState{},
		resigned:     map[Incarnation]bool{},
		lease:        noLease,
	}
	p.enterEpoch(newRoster(0, noOffset, nil), nil, now)

	return p
}

// enterEpoch adopts a roster and resets the state of the epoch. e is the entry
// that began it, or nil.
func (p *Participant) enterEpoch(r *Roster, e *Entry, now timer.Instant) {
	p.previous = p.roster
	if p.roster == nil || p.roster.epoch+1 != r.epoch {
		p.previous = nil
	}
	p.roster = r
	p.entry = e
	p.adoptedAt = now
	p.acked = map[Incarnation]timer.Instant{}
	p.adopters = map[Incarnation]bool{}
	p.hasQuorum = false
	p.reportedNoBan = map[Incarnation]bool{}
	p.reportedBan = map[Incarnation]bool{}
	p.retained = map[Range]uint64{}
	p.promised = map[Incarnation]bool{}
	p.banPromises = map[Incarnation]map[Incarnation]bool{}
	p.banned = map[Incarnation]timer.Instant{}
	p.refusals = map[Incarnation]timer.Instant{}
	p.excluded = false
	p.viewVersion++
	if p.Member() {
		p.adopters[p.self.incarnation] = true
	} else {
		p.lease = noLease
	}
	for _, m := range r.members {
		p.ensurePeer(m.incarnation, now)
	}
	p.prunePeers(now)
	p.pacer.reset(p.jitter(), now)
}

// prunePeers drops the state of VMs that are no longer members, so that it does
// not grow with each restart.
func (p *Participant) prunePeers(now timer.Instant) {
	for i, peer := range p.peers {
		if !p.roster.has(i) && now.Sub(peer.lastHeard) > pruneAfter {
			delete(p.peers, i)
			delete(p.resigned, i)
		}
	}
	for i, e := range p.lastBanEpoch {
		if e+1 < p.roster.epoch {
			delete(p.lastBanEpoch, i)
		}
	}
}

// ensurePeer returns the state of a peer and creates it if there is none. A new
// one is that of a VM that has just reported a valid lease.
func (p *Participant) ensurePeer(i Incarnation, now timer.Instant) *peerState {
	peer, ok := p.peers[i]
	if !ok {
		peer = &peerState{
			lastHeard:  now,
			lastLeased: now,
		}
		p.peers[i] = peer
	}

	return peer
}

// Epoch returns the number of the epoch that this VM has adopted.
func (p *Participant) Epoch() uint64 { return p.roster.epoch }

// Next returns the offset of the next record to apply.
func (p *Participant) Next() recorder.Offset { return p.next }

// Member reports whether this VM is a member of its epoch.
func (p *Participant) Member() bool { return p.roster.has(p.self.incarnation) }

// Members returns the members of the epoch, ordered by id.
func (p *Participant) Members() []VM { return p.roster.members }

// Lease returns the current lease; it is never nil.
func (p *Participant) Lease() *Lease { return p.lease }

// ViewVersion returns a number that changes whenever the result of View changes
// for the same argument.
func (p *Participant) ViewVersion() uint64 { return p.viewVersion }

// View returns a snapshot of the membership. Listed VMs that are not members
// are added to the peers.
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

	return buildView(p.self, p.roster, sortedByID(peers), p.ineligible)
}

// ineligible reports whether a member is banned or has resigned, so that its
// ranges go to the next member in their rendezvous order.
func (p *Participant) ineligible(i Incarnation) bool {
	_, banned := p.banned[i]

	return banned || p.resigned[i]
}

// Apply applies a record of the members stream. It reports whether the record
// began an epoch and returns an error if it was not accepted. Records before
// Next are ignored.
func (p *Participant) Apply(e *Entry, now timer.Instant) (bool, error) {
	if e.offset < p.next {
		return false, nil
	}
	p.next = e.offset + 1
	r, err := p.roster.Next(e.record, e.offset)
	if err != nil {
		return false, err
	}
	p.enterEpoch(r, e, now)

	return true, nil
}

// Skip skips a record of the members stream that cannot be decoded.
func (p *Participant) Skip(offset recorder.Offset) {
	p.next = max(p.next, offset+1)
}

// Adopt adopts the epoch of an entry that another VM has accepted, if it is
// later than this VM's epoch, and reports whether it did. The entry may be nil.
func (p *Participant) Adopt(e *Entry, now timer.Instant) bool {
	if e == nil || e.record.epoch <= p.roster.epoch {
		return false
	}
	p.next = max(p.next, e.offset+1)
	p.enterEpoch(rosterOf(e), e, now)

	return true
}

// Resign gives up all ranges permanently. This VM keeps answering pings, and
// acknowledges them as long as it is a member.
func (p *Participant) Resign() {
	p.resigned[p.self.incarnation] = true
	p.lease = noLease
	p.viewVersion++
}

// Resigned reports whether this VM has given up all ranges.
func (p *Participant) Resigned() bool {
	return p.resigned[p.self.incarnation]
}

// Ping returns the ping to send to a VM. It contains the entry of the epoch
// unless the VM is known to have adopted it.
func (p *Participant) Ping(to Incarnation, now timer.Instant) *Ping {
	s := PingSpec{
		From:     p.self,
		Epoch:    p.roster.epoch,
		Leased:   p.lease.Valid(now),
		Resigned: p.Resigned(),
		Suspects: p.suspects(now),
		Banned:   sortedKeys(p.banned),
	}
	if peer, ok := p.peers[to]; !ok || peer.epoch < p.roster.epoch {
		s.Entry = p.entry
	}

	return NewPing(s)
}

// HandlePing processes a ping and returns the reply.
func (p *Participant) HandlePing(m *Ping, now timer.Instant) *Reply {
	p.Adopt(m.entry, now)
	from := m.from.incarnation
	peer := p.ensurePeer(from, now)
	peer.observe(m.epoch, m.leased, now)
	p.recordResigned(from, m.resigned)
	s := ReplySpec{
		From:     p.self.incarnation,
		Epoch:    p.roster.epoch,
		Resigned: p.Resigned(),
	}
	if m.epoch < p.roster.epoch {
		s.Entry = p.entry
	}
	if m.epoch == p.roster.epoch {
		p.recordAdopted(from)
		p.recordBans(m.banned, now)
		s.Refused = p.promised[from]
		s.Acknowledged = !s.Refused && p.Member()
		s.BannedBefore = p.roster.epoch > 0 && p.lastBanEpoch[from] == p.roster.epoch-1
		s.Promised = p.promiseBans(m, now)
		s.Banned = sortedKeys(p.banned)
	}
	p.RefreshLease(now)

	return NewReply(s)
}

// HandleReply processes the reply to a ping that was sent in the epoch at the
// time sent.
func (p *Participant) HandleReply(m *Reply, epoch uint64, sent, now timer.Instant) {
	p.Adopt(m.entry, now)
	peer := p.ensurePeer(m.from, now)
	peer.observe(m.epoch, false, now)
	p.recordResigned(m.from, m.resigned)
	if m.epoch != p.roster.epoch {
		return
	}
	p.recordAdopted(m.from)
	p.recordBans(m.banned, now)
	for _, i := range m.promised {
		p.countPromise(i, m.from, now)
	}
	if epoch == p.roster.epoch {
		p.recordReply(m, sent, now)
	}
	p.RefreshLease(now)
}

// recordReply records an acknowledgement or a refusal in this epoch.
func (p *Participant) recordReply(m *Reply, sent, now timer.Instant) {
	if !p.roster.has(m.from) {
		return
	}
	if m.refused {
		p.recordRefusal(m.from, now)
	}
	if m.acknowledged {
		p.acked[m.from] = max(p.acked[m.from], sent)
		p.reportedNoBan[m.from] = !m.bannedBefore
		if m.bannedBefore {
			p.reportedBan[m.from] = true
		}
	}
}

func (s *peerState) observe(epoch uint64, leased bool, now timer.Instant) {
	s.lastHeard = now
	s.epoch = max(s.epoch, epoch)
	if leased {
		s.lastLeased = now
	}
}

func (p *Participant) recordAdopted(i Incarnation) {
	if p.roster.has(i) {
		p.adopters[i] = true
	}
}

func (p *Participant) recordResigned(i Incarnation, resigned bool) {
	if resigned && !p.resigned[i] {
		p.resigned[i] = true
		p.viewVersion++
	}
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[T any](m map[Incarnation]T) []Incarnation {
	out := make([]Incarnation, 0, len(m))
	for i := range m {
		out = append(out, i)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })

	return out
}
