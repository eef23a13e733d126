package member

import "time"

// Mutations of the protocol: each disables one safety rule, so that a test can
// show that the rule is needed.
const (
	MutationNoWait         = "no wait for the leases of other VMs to end"
	MutationDropPromises   = "pings are acknowledged despite a promise to ban their sender"
	MutationAckLowerEpoch  = "a lower epoch is acknowledged"
	MutationLeaseFromReply = "the lease counts from the reply"
)

// SetWait sets how long a new holder waits for the leases of other VMs to end.
func (p *Participant) SetWait(d time.Duration) { p.wait = d }

// DropPromises drops the VM's promises to ban members.
func (p *Participant) DropPromises() {
	p.promised = map[Incarnation]bool{}
	p.lastBanEpoch = map[Incarnation]uint64{}
}

// AcknowledgeAny returns the reply changed to an acknowledgement in epoch, unless
// it is a refusal.
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

// Unexported constants that tests use.
const (
	PingPeriod   = pingPeriod
	TakeoverWait = takeoverWait
	MaxListLag   = maxListLag
)
