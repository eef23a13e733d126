package placer

import (
	"math"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
)

const (
	// preferenceSlack is the cost by which the cheapest assigned target may exceed the
	// cheapest of all. It is small, so that a VM leaves its targets once they begin to fail.
	preferenceSlack = 0.03
	// maxAssignedLoad is the fraction of its slots, with this request, up to which a target
	// is preferred because it is assigned to this VM: targets are slower when nearly full.
	maxAssignedLoad = 0.7
)

// Assignment tells which targets are assigned to this VM.
type Assignment interface {
	Assigned(k estimator.Key) bool
}

// prefer marks the targets that get trial requests only, where this VM prefers some.
func (p *Placer) prefer(list []candidate, f profile) {
	if p.spec.Assignment != nil && !f.degraded {
		preferAssigned(list, f, p.spec.Assignment)
	}
}

// preferAssigned marks the targets that are not preferred, which get trial requests only.
// Preferred are the targets that are assigned to this VM, not suspect and not nearly full, if
// the cheapest of them costs at most preferenceSlack more than the cheapest target of all.
// Otherwise all targets with a free slot that are not suspect are, and without any, all
// targets. Among the preferred ones the weights decide, so that a target that works again
// gets requests again.
func preferAssigned(list []candidate, p profile, a Assignment) {
	lowest, lowestAssigned := math.Inf(1), math.Inf(1)
	assigned := func(c candidate) bool {
		return c.risk < suspectRisk && c.open+1 <= maxAssignedLoad*c.slots && a.Assigned(c.member.Key())
	}
	for _, c := range list {
		cost := c.cost(p)
		lowest = math.Min(lowest, cost)
		if assigned(c) {
			lowestAssigned = math.Min(lowestAssigned, cost)
		}
	}
	if lowestAssigned <= lowest+preferenceSlack {
		limitOthersToTrials(list, assigned)

		return
	}
	limitOthersToTrials(list, func(c candidate) bool { return c.risk < suspectRisk && c.open < c.slots })
}

// limitOthersToTrials marks the targets that are not preferred as trial-only, if any is
// preferred.
func limitOthersToTrials(list []candidate, preferred func(c candidate) bool) {
	found := false
	for i := range list {
		list[i].trialOnly = !preferred(list[i])
		found = found || !list[i].trialOnly
	}
	if !found {
		for i := range list {
			list[i].trialOnly = false
		}
	}
}
