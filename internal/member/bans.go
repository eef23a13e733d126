package member

import "github.com/lagoonkeel/lagoonkeel/internal/timer"

// suspects returns the members that this VM asks others to ban. Only a VM with
// a valid lease asks, since no other could take over their ranges.
func (p *Participant) suspects(now timer.Instant) []Incarnation {
	if !p.Member() || !p.lease.Valid(now) || p.lease.assignment.epoch != p.roster.epoch {
		return nil
	}
	var out []Incarnation
	for _, m := range p.roster.members {
		_, done := p.banned[m.incarnation]
		if m.incarnation == p.self.incarnation || done || p.resigned[m.incarnation] {
			continue
		}
		if p.mayBan(m.incarnation, now) {
			out = append(out, m.incarnation)
		}
	}

	return out
}

// mayBan reports whether this VM may promise to ban the member: as far as it
// knows, the member has been without a lease for longer than suspectAfter. A VM
// that was just paused has no recent knowledge of others and makes no new
// promise.
func (p *Participant) mayBan(i Incarnation, now timer.Instant) bool {
	if p.promised[i] {
		return true
	}
	peer, ok := p.peers[i]
	if !ok || now.Sub(p.lastRound) > pauseThreshold {
		return false
	}

	return now.Sub(peer.lastLeased) > suspectAfter && now.Sub(p.adoptedAt) > suspectAfter
}

// promiseBan records this VM's promise to refuse the member for the rest of the
// epoch.
func (p *Participant) promiseBan(i Incarnation) {
	p.promised[i] = true
	p.lastBanEpoch[i] = p.roster.epoch
}

// countPromise records that the member by has promised to ban the suspect in
// this epoch.
func (p *Participant) countPromise(suspect, by Incarnation, now timer.Instant) {
	if !p.roster.has(suspect) || !p.roster.has(by) {
		return
	}
	if p.banPromises[suspect] == nil {
		p.banPromises[suspect] = map[Incarnation]bool{}
	}
	p.banPromises[suspect][by] = true
	p.completeBan(suspect, now)
	if len(p.banPromises[suspect]) >= p.roster.Quorum() {
		p.recordBan(suspect, now)
	}
}

// completeBan adds this VM's promise to ban the suspect if that completes a
// quorum. Before that it does not promise on its own, so that a fault of the
// link between this VM and one member does not cost that member an
// acknowledgement.
func (p *Participant) completeBan(suspect Incarnation, now timer.Instant) {
	promises := p.banPromises[suspect]
	if len(promises)+1 == p.roster.Quorum() && p.Member() && p.mayBan(suspect, now) {
		p.promiseBan(suspect)
		promises[p.self.incarnation] = true
	}
}

// recordBan records that a quorum has banned the member in this epoch.
func (p *Participant) recordBan(i Incarnation, now timer.Instant) {
	if _, known := p.banned[i]; known || !p.roster.has(i) {
		return
	}
	p.banned[i] = now
	p.viewVersion++
}

// promiseBans promises to ban those of the ping's suspects that this VM may ban,
// and returns them.
func (p *Participant) promiseBans(m *Ping, now timer.Instant) []Incarnation {
	if p.promised[m.from.incarnation] || !p.Member() {
		return nil
	}
	var out []Incarnation
	for _, i := range m.suspects {
		if i != p.self.incarnation && p.roster.has(i) && p.mayBan(i, now) {
			p.promiseBan(i)
			p.countPromise(i, p.self.incarnation, now)
			out = append(out, i)
		}
	}

	return out
}

// recordRefusal records that a member refused this VM's ping. Once the members
// that have not refused are fewer than a quorum, this VM is excluded.
func (p *Participant) recordRefusal(from Incarnation, now timer.Instant) {
	p.refusals[from] = now
	if !p.excluded && len(p.roster.members)-len(p.refusals) < p.roster.Quorum() {
		p.excluded = true
		p.excludedAt = now
	}
}

func (p *Participant) recordBans(list []Incarnation, now timer.Instant) {
	for _, i := range list {
		p.recordBan(i, now)
	}
}
