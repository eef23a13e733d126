package registrar

import (
	"slices"
	"strings"
)

// publish replaces the table by one of the members.
func (r *Registrar) publish(members map[string]*Member) {
	next := &table{
		members:  members,
		services: map[string][]*Member{},
	}
	for _, m := range members {
		s := m.entry.service
		next.services[s] = append(next.services[s], m)
	}
	for _, list := range next.services {
		slices.SortFunc(list, func(a, b *Member) int {
			return strings.Compare(a.Target().Name(), b.Target().Name())
		})
	}
	r.table.Store(next)
}
