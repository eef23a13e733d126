package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// proposals paces the records that self proposes.
type proposals struct {
	// notBefore is the earliest instant of the next proposal.
	notBefore timer.Instant
	// backoff is the pause after the next failure.
	backoff time.Duration
}

// restart takes up proposing in a new epoch.
func (s *proposals) restart(jitter time.Duration, now timer.Instant) {
	s.notBefore = now.Add(jitter)
	s.backoff = firstBackoff
}

// ProposalSent pauses proposing until the record has been read back, or for a
// growing while.
func (p *Participant) ProposalSent(now timer.Instant) {
	p.proposals.notBefore = now.Add(p.proposals.backoff + p.jitter())
	p.proposals.backoff = min(2*p.proposals.backoff, maxBackoff)
}

// jitter returns a delay that differs between VMs and epochs.
func (p *Participant) jitter() time.Duration {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(p.self.incarnation))
	binary.BigEndian.PutUint64(b[8:], p.roster.epoch)

	return time.Duration(xxhash.Sum64(b[:]) % uint64(maxJitter))
}

// Propose returns the record that self should append now, or nil. Where the
// append succeeds or may have succeeded, the record comes back through Apply.
func (p *Participant) Propose(s *Sightings, now timer.Instant) *Record {
	if now.Before(p.proposals.notBefore) {
		return nil
	}
	if vanished := p.vanished(s, now); len(vanished) > 0 {
		return p.record(s, p.roster.without(func(v VM) bool { return vanished[v.incarnation] }), true)
	}
	if len(p.adopted) < p.roster.Quorum() {
		return nil
	}
	members, ok := p.change(s, now)
	if !ok {
		return nil
	}

	return p.record(s, members, false)
}

// change returns the members of the epoch that self wants next. A banned
// member asks for a new epoch of the same members, where its ban is over.
func (p *Participant) change(s *Sightings, now timer.Instant) ([]VM, bool) {
	if old, ok := p.predecessor(); ok {
		return p.roster.without(func(v VM) bool { return v == old }), true
	}
	if p.Resigned() {
		return p.roster.without(func(v VM) bool { return v == p.self }), p.Member()
	}
	if !p.Member() {
		return append(append([]VM(nil), p.roster.members...), p.self), true
	}
	if !p.tenure.Leased(now) {
		return p.roster.members, p.excluded && now.Sub(p.bannedAt) > reinstateAfter
	}
	if gone, ok := p.gone(s, now); ok {
		return p.roster.without(func(v VM) bool { return v == gone }), true
	}

	return p.roster.members, p.renewDue(s, now)
}

// predecessor returns the member that is an earlier start of this VM.
func (p *Participant) predecessor() (VM, bool) {
	for _, m := range p.roster.members {
		if m.id == p.self.id && m.incarnation != p.self.incarnation {
			return m, true
		}
	}

	return VM{}, false
}

// gone returns a member that is silent and that the platform's list names no
// more.
func (p *Participant) gone(s *Sightings, now timer.Instant) (VM, bool) {
	silence := silentAfter + p.duty()
	for _, m := range p.roster.members {
		if m == p.self || !s.Vanished(m.id, now) {
			continue
		}
		if now.Sub(p.meet(m.incarnation, now).heard) > silence {
			return m, true
		}
	}

	return VM{}, false
}

// vanished returns the members that the platform's list names no more, where
// too few others are left to prove anything.
func (p *Participant) vanished(s *Sightings, now timer.Instant) map[Incarnation]bool {
	out := map[Incarnation]bool{}
	for _, m := range p.roster.members {
		silent := now.Sub(p.meet(m.incarnation, now).heard) > silentAfter
		if m != p.self && silent && p.roster.listed[m.incarnation] && s.Vanished(m.id, now) {
			out[m.incarnation] = true
		}
	}
	if len(p.roster.members)-len(out) >= p.roster.Quorum() {
		return nil
	}

	return out
}

// renewDue reports whether the same members should begin a new epoch, to keep
// a recent record in the log or to note that the platform's list names a member.
func (p *Participant) renewDue(s *Sightings, now timer.Instant) bool {
	age := now.Sub(p.began) - p.duty()
	if age > refreshPeriod {
		return true
	}

	return age > noteListedAfter && len(p.listed(s)) > len(p.roster.listed)
}

// duty returns the delay of a proposal that any member may make.
func (p *Participant) duty() time.Duration {
	for i, m := range p.roster.members {
		if m == p.self {
			return time.Duration(i) * dutyStep
		}
	}

	return 0
}

// listed returns the members that the platform's list has named at some time.
func (p *Participant) listed(s *Sightings) []Incarnation {
	seen := map[Incarnation]bool{}
	for _, m := range append([]VM{p.self}, p.roster.members...) {
		if p.roster.listed[m.incarnation] || s.Named(m.id) {
			seen[m.incarnation] = true
		}
	}

	return sortedKeys(seen)
}

func (p *Participant) record(s *Sightings, members []VM, forced bool) *Record {
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
	for _, i := range p.listed(s) {
		if kept[i] {
			spec.Listed = append(spec.Listed, i)
		}
	}
	if !forced {
		spec.Proof = sortedKeys(p.adopted)
	}

	return NewRecord(spec)
}
