package member

import "time"

// The names of the ways in which a test breaks the protocol on purpose.
const (
	BreakWait = "no wait for the end of others' leases"
	BreakBans = "bans are not refused"
	BreakAcks = "a lower epoch is acknowledged"
	BreakSent = "the lease counts from the answer"
)

// SetWait replaces the wait of a new holder.
func (p *Participant) SetWait(d time.Duration) { p.wait = d }

// ForgetPromises drops what the VM has promised.
func (p *Participant) ForgetPromises() {
	p.promised = map[Incarnation]bool{}
	p.lastBan = map[Incarnation]uint64{}
}

// AcknowledgeAny returns the reply as one that acknowledges in the epoch.
func (r *Reply) AcknowledgeAny(epoch uint64) *Reply {
	if r.refused {
		return r
	}
	c := *r
	c.acknowledged = true
	c.epoch = epoch
	c.entry = nil

	return &c
}

// Constants of the protocol.
const (
	PingPeriod   = pingPeriod
	TakeoverWait = takeoverWait
	ListLag      = listLag
)
