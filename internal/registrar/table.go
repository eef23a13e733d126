package registrar

import (
	"slices"
	"strings"
)

// table is an immutable view of the list.
type table struct {
	// members maps target ids to members; draining targets are not included.
	members map[string]*Member
	// services holds the members of each service in the order of their ids, without those
	// in evacuated data centres.
	services map[string][]*Member
	// evacuated holds the evacuated data centres of the members of each service that has
	// such members, in the order of their names.
	evacuated map[string][]string
	// evacuatedCount is the number of members in evacuated data centres.
	evacuatedCount int
	// generation is that of the registrar when the table was built.
	generation uint64
}

// publish replaces the table by one of the members.
func (r *Registrar) publish(members map[string]*Member) {
	next := &table{
		members:    members,
		services:   map[string][]*Member{},
		evacuated:  map[string][]string{},
		generation: r.generation,
	}
	for _, m := range members {
		next.add(m, r.evacuations.dataCentres[m.Target().DataCentre()])
	}
	for _, list := range next.services {
		slices.SortFunc(list, byName)
	}
	r.table.Store(next)
}

// byName orders members by the names of their targets.
func byName(a, b *Member) int { return strings.Compare(a.Target().Name(), b.Target().Name()) }

// add adds a member to its service.
func (t *table) add(m *Member, evacuated bool) {
	service := m.entry.service
	if !evacuated {
		t.services[service] = append(t.services[service], m)

		return
	}
	t.evacuatedCount++
	names := t.evacuated[service]
	if i, found := slices.BinarySearch(names, m.Target().DataCentre()); !found {
		t.evacuated[service] = slices.Insert(names, i, m.Target().DataCentre())
	}
}
