package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// pacer limits the rate of this VM's proposals.
type pacer struct {
	// notBefore is the earliest time of the next proposal.
	notBefore timer.Instant
	// backoff is the delay after the next proposal.
	backoff time.Duration
}

// reset allows proposals in a new epoch, after the jitter.
func (p *pacer) reset(jitter time.Duration, now timer.Instant) {
	p.notBefore = now.Add(jitter)
	p.backoff = initialBackoff
}

// ProposalSent delays the next proposal with exponential backoff. The delay ends
// early if a new epoch begins.
func (p *Participant) ProposalSent(now timer.Instant) {
	p.pacer.notBefore = now.Add(p.pacer.backoff + p.jitter())
	p.pacer.backoff = min(2*p.pacer.backoff, maxBackoff)
}

// jitter returns a delay that differs between VMs and epochs.
func (p *Participant) jitter() time.Duration {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(p.self.incarnation))
	binary.BigEndian.PutUint64(b[8:], p.roster.epoch)

	return time.Duration(xxhash.Sum64(b[:]) % uint64(maxJitter))
}

// Propose returns the record that this VM should append now, or nil. The record
// takes effect only once it is read back from the log and passed to Apply.
func (p *Participant) Propose(h *ListHistory, now timer.Instant) *Record {
	if now.Before(p.pacer.notBefore) {
		return nil
	}
	if forcedRemovals := p.forcedRemovals(h, now); len(forcedRemovals) > 0 {
		return p.newRecord(h, p.roster.without(func(v VM) bool { return forcedRemovals[v.incarnation] }), true)
	}
	if len(p.adopters) < p.roster.Quorum() {
		return nil
	}
	members, ok := p.desiredMembers(h, now)
	if !ok {
		return nil
	}

	return p.newRecord(h, members, false)
}

// desiredMembers returns the members of the next epoch that this VM wants, and
// whether it wants one. An excluded member asks for a new epoch with the same
// members, in which the bans no longer apply.
func (p *Participant) desiredMembers(h *ListHistory, now timer.Instant) ([]VM, bool) {
	if old, ok := p.predecessor(); ok {
		return p.roster.without(func(v VM) bool { return v == old }), true
	}
	if p.Resigned() {
		return p.roster.without(func(v VM) bool { return v == p.self }), p.Member()
	}
	if !p.Member() {
		return append(append([]VM(nil), p.roster.members...), p.self), true
	}
	if !p.lease.Valid(now) {
		return p.roster.members, p.excluded && now.Sub(p.excludedAt) > reinstateAfter
	}
	if removable, ok := p.removable(h, now); ok {
		return p.roster.without(func(v VM) bool { return v == removable }), true
	}

	return p.roster.members, p.renewDue(h, now)
}

// predecessor returns the member that is another incarnation of this VM, if
// there is one.
func (p *Participant) predecessor() (VM, bool) {
	for _, m := range p.roster.members {
		if m.id == p.self.id && m.incarnation != p.self.incarnation {
			return m, true
		}
	}

	return VM{}, false
}

// removable returns a member that is silent and that the platform's list no
// longer names, if there is one.
func (p *Participant) removable(h *ListHistory, now timer.Instant) (VM, bool) {
	silence := silentAfter + p.stagger()
	for _, m := range p.roster.members {
		if m == p.self || !h.Unlisted(m.id, now) {
			continue
		}
		if now.Sub(p.ensurePeer(m.incarnation, now).lastHeard) > silence {
			return m, true
		}
	}

	return VM{}, false
}

// forcedRemovals returns the silent members that the platform's list no longer
// names, if the others are too few for a quorum; otherwise it returns nil.
func (p *Participant) forcedRemovals(h *ListHistory, now timer.Instant) map[Incarnation]bool {
	out := map[Incarnation]bool{}
	for _, m := range p.roster.members {
		silent := now.Sub(p.ensurePeer(m.incarnation, now).lastHeard) > silentAfter
		if m != p.self && silent && p.roster.listed[m.incarnation] && h.Unlisted(m.id, now) {
			out[m.incarnation] = true
		}
	}
	if len(p.roster.members)-len(out) >= p.roster.Quorum() {
		return nil
	}

	return out
}

// renewDue reports whether a new epoch with the same members is due, to keep a
// recent record in the log or to record that the platform's list has named
// another member.
func (p *Participant) renewDue(h *ListHistory, now timer.Instant) bool {
	age := now.Sub(p.adoptedAt) - p.stagger()
	if age > renewPeriod {
		return true
	}

	return age > recordListedAfter && len(p.listed(h)) > len(p.roster.listed)
}

// stagger returns this VM's delay of a proposal that any member may make.
func (p *Participant) stagger() time.Duration {
	for i, m := range p.roster.members {
		if m == p.self {
			return time.Duration(i) * staggerStep
		}
	}

	return 0
}

// listed returns those of this VM and the members that the platform's list has
// named at some time.
func (p *Participant) listed(h *ListHistory) []Incarnation {
	seen := map[Incarnation]bool{}
	for _, m := range append([]VM{p.self}, p.roster.members...) {
		if p.roster.listed[m.incarnation] || h.EverListed(m.id) {
			seen[m.incarnation] = true
		}
	}

	return sortedKeys(seen)
}

// newRecord returns a record that begins the next epoch with the given members.
func (p *Participant) newRecord(h *ListHistory, members []VM, forced bool) *Record {
	spec := RecordSpec{
		Base:    p.roster.offset,
		Epoch:   p.roster.epoch + 1,
		Members: members,
		Forced:  forced,
	}
	kept := map[Incarnation]bool{}
	for _, m := range members {
		kept[m.incarnation] = true
	}
	for _, i := range p.listed(h) {
		if kept[i] {
			spec.Listed = append(spec.Listed, i)
		}
	}
	if !forced {
		spec.Proof = sortedKeys(p.adopters)
	}

	return NewRecord(spec)
}
