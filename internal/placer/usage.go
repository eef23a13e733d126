package placer

import (
	"math"

	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// suspectRisk is the risk from which on a target does not count for the room of its
	// service.
	suspectRisk = 0.5
	// maxSuspectShare is the share of suspect slots from which on they count in part, and
	// in full where all are suspect: a service whose targets are all slow is one that
	// serves slowly, and must not be closed.
	maxSuspectShare = 0.5
	// warmUpFactor is the fraction of its slots that a target has while it warms up
	// after a start.
	warmUpFactor = 0.5
)

// slotUse sums up the slots of targets of a service and the open requests at them.
type slotUse struct {
	slots float64
	// own and others are the open requests of this VM and of the others.
	own    float64
	others float64
}

func (c *slotUse) add(slots, own, others float64) {
	c.slots += slots
	c.own += own
	c.others += others
}

// usage returns the slots of the service that count for its room and the open requests at
// them, and the requests that wait on other VMs. The slots of targets that are paused, were
// without capacity lately, or are cold and may not get a request now do not count, but their
// open requests do. Suspect targets do not count at all, unless too many are suspect.
func (p *Placer) usage(now timer.Instant, service string) usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	trusted, suspect := slotUse{}, slotUse{}
	for _, m := range p.spec.Targets.Members(service) {
		if !m.Listed(now) {
			continue
		}
		c, slots := &trusted, slotsOf(now, m)
		switch {
		case now.Before(p.pauseEnd(m.Key())), p.mustHold(now, service, m):
			slots = 0
		case p.spec.Risks.Risk(now, m.Key()) >= suspectRisk:
			c = &suspect
		}
		c.add(slots, float64(p.openPerTarget[m.Key()]), float64(p.spec.RemoteLoad.OpenRequests(m.Key())))
	}
	part := suspectPart(trusted.slots, suspect.slots)

	return usage{
		slots:         trusted.slots + part*suspect.slots,
		counted:       trusted.own + part*suspect.own,
		othersOpen:    trusted.others + part*suspect.others,
		othersWaiting: float64(p.spec.RemoteLoad.OpenRequests(WaitingKey(service))),
	}
}

// suspectPart returns the part of the suspect slots that counts for the room.
func suspectPart(trusted, suspect float64) float64 {
	if suspect == 0 {
		return 0
	}
	share := suspect / (trusted + suspect)

	return math.Max(0, (share-maxSuspectShare)/(1-maxSuspectShare))
}

// slotsOf returns the number of slots of a target, which are fewer while it warms up.
func slotsOf(now timer.Instant, m *registrar.Member) float64 {
	slots := float64(m.Target().Slots())
	if m.WarmingUp(now) {
		slots *= warmUpFactor
	}

	return slots
}
