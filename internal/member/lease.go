package member

import (
	"sort"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// StartRound starts a round of pings: this VM acknowledges its own ping. After
// a pause of the process it counts the silence of all other VMs from now, since
// their messages may have been missed.
func (p *Participant) StartRound(now timer.Instant) {
	if now.Sub(p.lastRound) > pauseThreshold {
		for _, peer := range p.peers {
			peer.lastHeard = now
			peer.lastLeased = now
		}
	}
	p.lastRound = now
	if p.Member() {
		p.reportedNoBan[p.self.incarnation] = true
		p.acked[p.self.incarnation] = now
	}
	p.RefreshLease(now)
}

// leaseEnd returns the end of the lease in this epoch: LeaseDuration after the
// latest time such that a quorum acknowledged pings sent at or after it. It
// returns false if fewer members than a quorum have acknowledged any.
func (p *Participant) leaseEnd() (timer.Instant, bool) {
	quorum := p.roster.Quorum()
	if quorum == 0 || len(p.acked) < quorum {
		return 0, false
	}
	sent := make([]timer.Instant, 0, len(p.acked))
	for _, t := range p.acked {
		sent = append(sent, t)
	}
	sort.Slice(sent, func(i, j int) bool { return sent[i].After(sent[j]) })

	return sent[quorum-1].Add(LeaseDuration), true
}

// RefreshLease updates the lease from the acknowledgements received. The lease of
// the previous epoch remains in use until it expires or a quorum acknowledges
// in this epoch. While a quorum of the previous epoch may have promised to ban
// this VM, the first quorum of this epoch is delayed, so that more members can
// answer.
func (p *Participant) RefreshLease(now timer.Instant) {
	if !p.Member() || p.Resigned() {
		p.lease = noLease

		return
	}
	until, ok := p.leaseEnd()
	if !ok || !now.Before(until) {
		return
	}
	if !p.hasQuorum {
		if p.lease.Valid(now) && p.mayHaveBeenBanned() {
			return
		}
		p.hasQuorum = true
		p.quorumAt = now
		p.retainRanges(now)
	}
	a := p.lease.assignment
	if a.epoch != p.roster.epoch || p.assignmentVersion != p.viewVersion {
		a = p.assignment()
		p.assignmentVersion = p.viewVersion
	}
	p.lease = &Lease{
		assignment: a,
		until:      until,
	}
}

// mayHaveBeenBanned reports whether a quorum of the previous epoch may have
// promised to ban this VM there, according to the acknowledgements of this epoch.
func (p *Participant) mayHaveBeenBanned() bool {
	if p.previous == nil || len(p.reportedBan) == 0 {
		return false
	}
	unconfirmed := 0
	for _, m := range p.previous.members {
		if !p.reportedNoBan[m.incarnation] {
			unconfirmed++
		}
	}

	return unconfirmed >= p.previous.Quorum()
}

// retainRanges records the ranges that this VM keeps holding without a wait:
// those for which it is active under the lease of the directly preceding epoch,
// in which no quorum banned it, and whose holder it is in this epoch too.
func (p *Participant) retainRanges(now timer.Instant) {
	old := p.lease
	if p.previous == nil || p.mayHaveBeenBanned() || p.entry == nil || p.entry.record.forced || old.assignment.epoch+1 != p.roster.epoch {
		return
	}
	for r := range Range(RangeCount) {
		term, active := old.Active(r, now)
		if active && p.isFirstInOrder(r) {
			p.retained[r] = term.epoch
		}
	}
}

// isFirstInOrder reports whether this VM is the first member of the range's
// rendezvous order that has not resigned.
func (p *Participant) isFirstInOrder(r Range) bool {
	for _, i := range p.roster.order(r) {
		m := p.roster.members[i].incarnation
		if m == p.self.incarnation {
			return true
		}
		if !p.resigned[m] {
			return false
		}
	}

	return false
}

// assignment returns the ranges that this VM holds in this epoch while its
// lease is valid.
func (p *Participant) assignment() *assignment {
	a := &assignment{
		epoch:       p.roster.epoch,
		incarnation: p.self.incarnation,
		holdings:    make([]holding, RangeCount),
	}
	for r := range Range(RangeCount) {
		a.holdings[r] = p.holding(r)
	}

	return a
}

// holding returns this VM's right to act for one range. The VM has it if every
// member before it in the rendezvous order has resigned or is banned. It may act
// once the takeover wait has passed since the first quorum of the epoch and since
// the latest of those bans. A retained range needs no wait since the quorum.
func (p *Participant) holding(r Range) holding {
	h := holding{
		held:      true,
		termEpoch: p.roster.epoch,
		from:      p.quorumAt.Add(p.wait),
	}
	if termEpoch, ok := p.retained[r]; ok {
		h.termEpoch = termEpoch
		h.from = p.quorumAt
	}
	for _, i := range p.roster.order(r) {
		m := p.roster.members[i].incarnation
		if m == p.self.incarnation {
			return h
		}
		if p.resigned[m] {
			continue
		}
		at, banned := p.banned[m]
		if !banned {
			break
		}
		h.from = max(h.from, at.Add(p.wait))
	}

	return holding{}
}
