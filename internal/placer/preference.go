package placer

import (
	"math"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
)

const (
	// preferenceSlack is the cost by which a preferred target may exceed the cheapest one.
	// It is small, so that a VM leaves its own targets once they begin to fail.
	preferenceSlack = 0.03
	// maxAssignedLoad is the fraction of its slots, with this request, up to which a target
	// is preferred because it is assigned to this VM: targets are slower when nearly full.
	maxAssignedLoad = 0.7
	// maxStaleRisk is the risk up to which an assigned target without recent evidence is
	// preferred all the same. A risk grows to about that without evidence, and a target that
	// its own VMs do not use would get none but by trials.
	maxStaleRisk = 0.3
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

// preferAssigned marks the targets that are not preferred, which get trial requests only. A
// target is usable if it has a free slot and costs at most preferenceSlack more than the
// cheapest one. The usable targets that are assigned to this VM and are not nearly full are
// preferred, as are assigned ones without recent evidence; where there is no such target, all
// usable ones are. Where no target is usable, none is marked.
func preferAssigned(list []candidate, p profile, a Assignment) {
	lowest := math.Inf(1) // The cost of the cheapest target.
	for _, c := range list {
		lowest = math.Min(lowest, c.cost(p))
	}
	usable := func(c candidate) bool { return c.open < c.slots && c.cost(p) <= lowest+preferenceSlack }
	stale := func(c candidate) bool { return c.local && c.age > idleTime && c.risk <= maxStaleRisk }
	assigned := func(c candidate) bool {
		return (usable(c) || stale(c)) && c.open+1 <= maxAssignedLoad*c.slots && a.Assigned(c.member.Key())
	}
	if !limitOthersToTrials(list, assigned) {
		limitOthersToTrials(list, usable)
	}
}

// limitOthersToTrials marks the targets that are not preferred as trial-only, if any is
// preferred. It reports whether one is.
func limitOthersToTrials(list []candidate, preferred func(c candidate) bool) bool {
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

	return found
}
