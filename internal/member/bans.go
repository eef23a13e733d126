package member

import "github.com/lagoonkeel/lagoonkeel/internal/timer"

// suspects returns the members that self asks others to ban. Only a VM that
// holds a lease asks, since no other could take over.
func (p *Participant) suspects(now timer.Instant) []Incarnation {
	if !p.Member() || !p.tenure.Leased(now) || p.tenure.grant.epoch != p.roster.epoch {
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

// mayBan reports whether the member has been without a lease, as far as self
// knows, for long enough. A VM that was paused knows nothing of others.
func (p *Participant) mayBan(i Incarnation, now timer.Instant) bool {
	if p.promised[i] {
		return true
	}
	c, ok := p.contacts[i]
	if !ok || now.Sub(p.lastRound) > pauseAfter {
		return false
	}

	return now.Sub(c.leased) > suspectAfter && now.Sub(p.began) > suspectAfter
}

// promise bans the member on self's part, for good in this epoch.
func (p *Participant) promise(i Incarnation) {
	p.promised[i] = true
	p.lastBan[i] = p.roster.epoch
}

// count notes that a member has banned the suspect in this epoch.
func (p *Participant) count(suspect, by Incarnation, now timer.Instant) {
	if !p.roster.has(suspect) || !p.roster.has(by) {
		return
	}
	if p.promises[suspect] == nil {
		p.promises[suspect] = map[Incarnation]bool{}
	}
	p.promises[suspect][by] = true
	p.joinBan(suspect, now)
	if len(p.promises[suspect]) >= p.roster.Quorum() {
		p.learnBan(suspect, now)
	}
}

// joinBan bans the suspect on self's part too where that completes a quorum.
// Until then self does not promise, so that a fault between self and one other
// costs that one no vote.
func (p *Participant) joinBan(suspect Incarnation, now timer.Instant) {
	votes := p.promises[suspect]
	if len(votes)+1 == p.roster.Quorum() && p.Member() && p.mayBan(suspect, now) {
		p.promise(suspect)
		votes[p.self.incarnation] = true
	}
}

// learnBan notes that a quorum has banned the member in this epoch.
func (p *Participant) learnBan(i Incarnation, now timer.Instant) {
	if _, known := p.banned[i]; known || !p.roster.has(i) {
		return
	}
	p.banned[i] = now
	p.viewVersion++
}

// answerSuspects bans those of the ping's suspects that self may ban.
func (p *Participant) answerSuspects(m *Ping, now timer.Instant) []Incarnation {
	if p.promised[m.from.incarnation] || !p.Member() {
		return nil
	}
	var out []Incarnation
	for _, i := range m.suspects {
		if i != p.self.incarnation && p.roster.has(i) && p.mayBan(i, now) {
			p.promise(i)
			p.count(i, p.self.incarnation, now)
			out = append(out, i)
		}
	}

	return out
}

func (p *Participant) noteRefusal(from Incarnation, now timer.Instant) {
	p.refusals[from] = now
	if !p.excluded && len(p.roster.members)-len(p.refusals) < p.roster.Quorum() {
		p.excluded = true
		p.bannedAt = now
	}
}

func (p *Participant) learnBans(list []Incarnation, now timer.Instant) {
	for _, i := range list {
		p.learnBan(i, now)
	}
}
