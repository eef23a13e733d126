package picker

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// tier orders candidates: a later tier is used only if the earlier ones have no
// room.
type tier int

const (
	// tierPrimary holds this VM's subset of its own data centre.
	tierPrimary tier = iota
	// tierNear holds the rest of the own data centre.
	tierNear
	// tierFar holds the other data centres.
	tierFar
	tierCount
)

// candidate is one target in a table. It is immutable but for its gauge.
type candidate struct {
	target *manifester.Target
	gauge  *gauge
	// weight is the part of its work that the target gets; above 0.
	weight float64
}

// trial is one ejected target that gets trial requests.
type trial struct {
	target *manifester.Target
	gauge  *gauge
	every  time.Duration
}

// serviceTable is one service as this VM picks from it. It is immutable but for
// its gauges.
type serviceTable struct {
	service *manifester.Service
	tiers   [tierCount][]candidate
	trials  []trial
	// typical is the service's median first-byte time, or 0.
	typical time.Duration
	gauge   *serviceGauge
	// share is this VM's even share of the service's slots; at least 1.
	share int
}

// inFlight returns this VM's open attempts at the service.
func (s *serviceTable) inFlight() int64 {
	n := int64(0)
	for i := range s.tiers {
		for j := range s.tiers[i] {
			n += s.tiers[i][j].gauge.samples.InFlight()
		}
	}

	return n
}

// room returns the sum of the targets' in-flight bounds.
func (s *serviceTable) room() int {
	n := 0
	for i := range s.tiers {
		for j := range s.tiers[i] {
			n += int(s.tiers[i][j].gauge.limit.value())
		}
	}

	return n
}

// Table holds every service. It is immutable and swapped as a whole.
type Table struct {
	services map[string]*serviceTable
}

// builder builds one table.
type builder struct {
	self       vmID
	dataCentre string
	// near lists the VMs of the own data centre and all every VM, each in the
	// order of their names and with self.
	near []vmID
	all  []vmID
	// verdicts are the standings in force.
	verdicts *ejector.Verdicts
	gauges   *gauges
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
	typical := b.verdicts.Typical(s.Name())
	st := &serviceTable{
		service: s,
		typical: typical,
		gauge:   b.gauges.service(s.Name()),
		share:   max(1, (s.Slots()+len(b.all)-1)/len(b.all)),
	}
	st.gauge.follow(typical)
	st.gauge.limit.init(float64(2*st.share), float64(2*s.Slots()))
	tiers, sharers := b.tiersOf(s)
	for i, t := range s.Targets() {
		g := b.gauges.current(ejector.KeyOf(s, t))
		g.relax(typical)
		g.limit.init(startLimit(t.Slots(), sharers), float64(2*t.Slots()))
		b.place(st, tiers[i], t, g)
	}

	return st
}

// startLimit is the first in-flight bound of a target that some VMs share:
// twice this VM's part of the slots.
func startLimit(slots, sharers int) float64 {
	return max(2, float64(2*slots)/float64(max(1, sharers)))
}

// place files a target under its tier or among the trials.
func (b *builder) place(st *serviceTable, at tier, t *manifester.Target, g *gauge) {
	standing := b.verdicts.Standing(ejector.KeyOf(st.service, t))
	switch {
	case t.Leaving() || (standing != nil && standing.Leaving()):
	case standing == nil:
		st.tiers[at] = append(st.tiers[at], candidate{
			target: t,
			gauge:  g,
			weight: 1,
		})
	case standing.Grade() == ejector.GradeEjected:
		if every := b.trialEvery(standing); every > 0 && at != tierFar {
			st.trials = append(st.trials, trial{
				target: t,
				gauge:  g,
				every:  every,
			})
		}
	default:
		st.tiers[at] = append(st.tiers[at], candidate{
			target: t,
			gauge:  g,
			weight: standing.Weight(),
		})
	}
}

// trialEvery returns the time between this VM's trial requests, or 0 for none.
// The VMs of the own data centre share those of the fleet.
func (b *builder) trialEvery(s *ejector.Standing) time.Duration {
	if s.Path() {
		return s.TrialEvery()
	}

	return s.TrialEvery() * time.Duration(len(b.near))
}

// tiersOf returns the tier of each target and how many VMs share a primary one.
// Where the own data centre has no target, every target counts as near.
func (b *builder) tiersOf(s *manifester.Service) ([]tier, int) {
	var near []int
	var names []string
	for i, t := range s.Targets() {
		if t.DataCentre() == b.dataCentre {
			near = append(near, i)
			names = append(names, t.Name())
		}
	}
	vms, other := b.near, tierFar
	if len(near) == 0 {
		vms = b.all
		for i, t := range s.Targets() {
			near = append(near, i)
			names = append(names, t.Name())
		}
	}
	tiers := make([]tier, len(s.Targets()))
	for i := range tiers {
		tiers[i] = other
	}
	mine := subset(b.self, vms, names)
	for j, i := range near {
		tiers[i] = tierNear
		if mine[j] {
			tiers[i] = tierPrimary
		}
	}

	return tiers, max(1, len(vms)*min(subsetSize, len(names))/max(1, len(names)))
}
