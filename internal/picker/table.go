package picker

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// tier is the priority of a candidate: a later tier is used only if no candidate
// of the earlier ones can take the attempt.
type tier int

const (
	// tierPrimary holds this VM's subset of the targets in its own data centre.
	tierPrimary tier = iota
	// tierLocal holds the other targets in its own data centre.
	tierLocal
	// tierRemote holds the targets in other data centres.
	tierRemote
	tierCount
)

// candidate is one target in a table. It is immutable except for the state that it
// points to.
type candidate struct {
	target *manifester.Target
	state  *targetState
	// weight is the fraction of its regular load that the target gets; above 0.
	weight float64
}

// trial is one ejected target that gets trial requests.
type trial struct {
	target   *manifester.Target
	state    *targetState
	interval time.Duration
}

// serviceTable holds the targets of one service that this VM picks from. It is
// immutable except for the states that it points to.
type serviceTable struct {
	service *manifester.Service
	tiers   [tierCount][]candidate
	trials  []trial
	// median is the service's median first-byte time; 0 while unknown.
	median time.Duration
	state  *serviceState
	// share is this VM's equal share of the service's slots; at least 1.
	share int
}

// inFlight returns the number of this VM's attempts in flight at the targets of
// all tiers.
func (s *serviceTable) inFlight() int64 {
	n := int64(0)
	for i := range s.tiers {
		for j := range s.tiers[i] {
			n += s.tiers[i][j].state.samples.InFlight()
		}
	}

	return n
}

// totalLimit returns the sum of the limits of the targets of all tiers.
func (s *serviceTable) totalLimit() int {
	n := 0
	for i := range s.tiers {
		for j := range s.tiers[i] {
			n += int(s.tiers[i][j].state.limit.value())
		}
	}

	return n
}

// Table maps the name of each service to its serviceTable. It is immutable and
// swapped as a whole.
type Table struct {
	services map[string]*serviceTable
}

// builder builds one table.
type builder struct {
	self       vmID
	dataCentre string
	// local lists the VMs in the own data centre and all lists every VM, both in
	// the order of their ids and including self.
	local []vmID
	all   []vmID
	// statuses holds the health of the targets.
	statuses *ejector.TargetStatuses
	states   *states
}

// build returns the table of the manifest.
func (b *builder) build(m *manifester.Manifest) *Table {
	t := &Table{
		services: map[string]*serviceTable{},
	}
	for _, s := range m.Services() {
		t.services[s.Name()] = b.service(s)
	}

	return t
}

func (b *builder) service(s *manifester.Service) *serviceTable {
	median := b.statuses.MedianLatency(s.Name())
	st := &serviceTable{
		service: s,
		median:  median,
		state:   b.states.service(s.Name()),
		share:   max(1, (s.Slots()+len(b.all)-1)/len(b.all)),
	}
	st.state.observeMedian(median)
	st.state.limit.init(float64(2*st.share), float64(2*s.Slots()))
	tiers, vmsPerTarget := b.assignTiers(s)
	for i, t := range s.Targets() {
		ts := b.states.currentTarget(ejector.KeyOf(s, t))
		ts.decayLatency(median)
		ts.limit.init(initialLimit(t.Slots(), vmsPerTarget), float64(2*t.Slots()))
		b.addTarget(st, tiers[i], t, ts)
	}

	return st
}

// initialLimit returns the initial limit of a target that vmsPerTarget VMs share:
// twice this VM's share of the slots.
func initialLimit(slots, vmsPerTarget int) float64 {
	return max(2, float64(2*slots)/float64(max(1, vmsPerTarget)))
}

// addTarget adds a target to its tier, or to the trials if it is ejected. It leaves
// out targets that are leaving, and ejected targets of other data centres.
func (b *builder) addTarget(st *serviceTable, at tier, t *manifester.Target, ts *targetState) {
	status := b.statuses.Status(ejector.KeyOf(st.service, t))
	switch {
	case t.Leaving() || (status != nil && status.Leaving()):
	case status == nil:
		st.tiers[at] = append(st.tiers[at], candidate{
			target: t,
			state:  ts,
			weight: 1,
		})
	case status.Grade() == ejector.GradeEjected:
		if interval := b.trialInterval(status); interval > 0 && at != tierRemote {
			st.trials = append(st.trials, trial{
				target:   t,
				state:    ts,
				interval: interval,
			})
		}
	default:
		st.tiers[at] = append(st.tiers[at], candidate{
			target: t,
			state:  ts,
			weight: status.Weight(),
		})
	}
}

// trialInterval returns the time between this VM's trial requests, or 0 for none.
// The VMs of the data centre divide the trials among them, unless the target is
// ejected for evidence about this VM's path to it.
func (b *builder) trialInterval(s *ejector.TargetStatus) time.Duration {
	if s.PathOnly() {
		return s.TrialInterval()
	}

	return s.TrialInterval() * time.Duration(len(b.local))
}

// assignTiers returns the tier of each target, and how many VMs share a primary
// target on average. Where the own data centre has no target, every target counts
// as local.
func (b *builder) assignTiers(s *manifester.Service) ([]tier, int) {
	var local []int
	var names []string
	for i, t := range s.Targets() {
		if t.DataCentre() == b.dataCentre {
			local = append(local, i)
			names = append(names, t.Name())
		}
	}
	vms, otherTier := b.local, tierRemote
	if len(local) == 0 {
		vms = b.all
		for i, t := range s.Targets() {
			local = append(local, i)
			names = append(names, t.Name())
		}
	}
	tiers := make([]tier, len(s.Targets()))
	for i := range tiers {
		tiers[i] = otherTier
	}
	primary := subset(b.self, vms, names)
	for j, i := range local {
		tiers[i] = tierLocal
		if primary[j] {
			tiers[i] = tierPrimary
		}
	}

	return tiers, max(1, len(vms)*min(subsetSize, len(names))/max(1, len(names)))
}
