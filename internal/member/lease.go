package member

import (
	"sort"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// StartRound counts self's own acknowledgement of the pings that are sent now.
// After a pause of the process, others get the time of grace anew.
func (p *Participant) StartRound(now timer.Instant) {
	if now.Sub(p.lastRound) > pauseAfter {
		for _, c := range p.contacts {
			c.heard = now
			c.leased = now
		}
	}
	p.lastRound = now
	if p.Member() {
		p.clean[p.self.incarnation] = true
		p.acked[p.self.incarnation] = now
	}
	p.Refresh(now)
}

// leaseEnd returns the end of the lease in this epoch: a quorum acknowledged
// pings that were sent no longer than LeaseDuration before it.
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

// Refresh brings the tenure up to date. The tenure of the epoch before stands
// until its lease ends or the first quorum in this epoch. Members that banned
// self in the epoch before delay that quorum, so that more of them answer.
func (p *Participant) Refresh(now timer.Instant) {
	if !p.Member() || p.Resigned() {
		p.tenure = noTenure

		return
	}
	until, ok := p.leaseEnd()
	if !ok || !now.Before(until) {
		return
	}
	if !p.quorate {
		if p.tenure.Leased(now) && p.mayHaveLost() {
			return
		}
		p.quorate = true
		p.quorateAt = now
		p.carry(now)
	}
	g := p.tenure.grant
	if g.epoch != p.roster.epoch || p.grantVersion != p.viewVersion {
		g = p.grant()
		p.grantVersion = p.viewVersion
	}
	p.tenure = &Tenure{
		grant: g,
		until: until,
	}
}

// mayHaveLost reports whether a quorum of the epoch before may have banned
// self there, by what the acknowledgements of this epoch tell.
func (p *Participant) mayHaveLost() bool {
	if p.previous == nil || len(p.tainted) == 0 {
		return false
	}
	open := 0
	for _, m := range p.previous.members {
		if !p.clean[m.incarnation] {
			open++
		}
	}

	return open >= p.previous.Quorum()
}

// carry notes the ranges that self goes on to hold without a wait: those on
// which it may act by the epoch directly before, where no quorum banned it, and
// of which it is the holder in this epoch too.
func (p *Participant) carry(now timer.Instant) {
	old := p.tenure
	if p.previous == nil || p.mayHaveLost() || p.entry == nil || p.entry.record.forced || old.grant.epoch+1 != p.roster.epoch {
		return
	}
	for r := range Range(RangeCount) {
		term, active := old.Active(r, now)
		if active && p.first(r) {
			p.carried[r] = term.epoch
		}
	}
}

// first reports whether self is the first of the range's order that has not
// resigned.
func (p *Participant) first(r Range) bool {
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

// grant returns what self holds in this epoch while its lease lasts.
func (p *Participant) grant() *grant {
	g := &grant{
		epoch:       p.roster.epoch,
		incarnation: p.self.incarnation,
		holdings:    make([]holding, RangeCount),
	}
	for r := range Range(RangeCount) {
		g.holdings[r] = p.holding(r)
	}

	return g
}

// holding returns self's right to one range: every member before it in order
// has resigned, or was banned at least the takeover wait ago.
func (p *Participant) holding(r Range) holding {
	h := holding{
		held: true,
		term: p.roster.epoch,
		from: p.quorateAt.Add(p.wait),
	}
	if term, ok := p.carried[r]; ok {
		h.term = term
		h.from = p.quorateAt
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
