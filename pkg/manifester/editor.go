package manifester

import "slices"

// editor builds the next version of a manifest and validates only what the change affects.
// The previous version must be valid; the next one is then valid if no check failed.
type editor struct {
	services    *tableEditor[*Service]
	teams       *tableEditor[*Team]
	routes      *tableEditor[*Route]
	teamsByKey  *tableEditor[*Team]
	byPrefix    *tableEditor[[]*Route]
	routeCounts *tableEditor[int]
	// valid is false once a check has failed.
	valid bool
}

func (m *Manifest) editor() *editor {
	return &editor{
		services:    m.services.edit(),
		teams:       m.teams.edit(),
		routes:      m.routes.edit(),
		teamsByKey:  m.teamsByKey.edit(),
		byPrefix:    m.byPrefix.edit(),
		routeCounts: m.routeCounts.edit(),
		valid:       true,
	}
}

func (e *editor) manifest(v Version) *Manifest {
	return &Manifest{
		version:     v,
		services:    e.services.table,
		teams:       e.teams.table,
		routes:      e.routes.table,
		teamsByKey:  e.teamsByKey.table,
		byPrefix:    e.byPrefix.table,
		routeCounts: e.routeCounts.table,
	}
}

// apply removes, adds and replaces objects. Removed and replaced teams and routes are
// removed before any is added, so that a key or a prefix can move from one object to
// another within one change.
func (e *editor) apply(c *Change) {
	services, teams, routes := lastOfName(c.services), lastOfName(c.teams), lastOfName(c.routes)
	e.deleteTeams(c.removeTeams)
	e.deleteTeams(names(teams))
	e.deleteRoutes(c.removeRoutes)
	e.deleteRoutes(names(routes))
	for _, n := range c.removeServices {
		e.services.remove(n)
	}
	for _, s := range services {
		e.services.put(s.name, s)
	}
	for _, t := range teams {
		e.putTeam(t)
	}
	for _, r := range routes {
		e.putRoute(r)
	}
	e.checkObjects(services, teams, routes)
	e.checkRemovedServices(c.removeServices)
}

// lastOfName returns the last object of each name, in the order of the list.
func lastOfName[T interface{ Name() string }](list []T) []T {
	at := make(map[string]int, len(list))
	for i, v := range list {
		at[v.Name()] = i
	}
	if len(at) == len(list) {
		return list
	}
	kept := make([]T, 0, len(at))
	for i, v := range list {
		if at[v.Name()] == i {
			kept = append(kept, v)
		}
	}

	return kept
}

func names[T interface{ Name() string }](list []T) []string {
	out := make([]string, 0, len(list))
	for _, v := range list {
		out = append(out, v.Name())
	}

	return out
}

func (e *editor) deleteTeams(list []string) {
	for _, n := range list {
		old, ok := e.teams.table.get(n)
		if !ok {
			continue
		}
		for _, d := range old.keyDigests {
			e.teamsByKey.remove(d)
		}
		e.teams.remove(n)
	}
}

func (e *editor) putTeam(t *Team) {
	e.teams.put(t.name, t)
	for _, d := range t.keyDigests {
		if _, taken := e.teamsByKey.table.get(d); taken {
			e.valid = false
		}
		e.teamsByKey.put(d, t)
	}
}

func (e *editor) deleteRoutes(list []string) {
	for _, n := range list {
		old, ok := e.routes.table.get(n)
		if !ok {
			continue
		}
		samePrefix, _ := e.byPrefix.table.get(old.prefixKey())
		samePrefix = slices.DeleteFunc(slices.Clone(samePrefix), func(r *Route) bool { return r == old })
		if len(samePrefix) > 0 {
			e.byPrefix.put(old.prefixKey(), samePrefix)
		} else {
			e.byPrefix.remove(old.prefixKey())
		}
		for _, s := range old.Services() {
			e.addToRouteCount(s, -1)
		}
		e.routes.remove(n)
	}
}

func (e *editor) putRoute(r *Route) {
	e.routes.put(r.name, r)
	samePrefix, _ := e.byPrefix.table.get(r.prefixKey())
	if slices.ContainsFunc(samePrefix, func(o *Route) bool { return o.method == r.method }) {
		e.valid = false
	}
	e.byPrefix.put(r.prefixKey(), append(slices.Clone(samePrefix), r))
	for _, s := range r.Services() {
		e.addToRouteCount(s, 1)
	}
}

// addToRouteCount adds delta to the number of routes of a service.
func (e *editor) addToRouteCount(service string, delta int) {
	n, _ := e.routeCounts.table.get(service)
	if n+delta == 0 {
		e.routeCounts.remove(service)

		return
	}
	e.routeCounts.put(service, n+delta)
}

// checkObjects validates each object and its references. putTeam and putRoute detect keys
// of two teams, and routes with the same method and prefix.
func (e *editor) checkObjects(services []*Service, teams []*Team, routes []*Route) {
	v := &validator{}
	for _, s := range services {
		v.checkService(s)
	}
	for _, t := range teams {
		v.checkTeam(t, map[string]string{})
	}
	for _, r := range routes {
		v.checkRoute(r, e.services.table, map[string]string{})
	}
	e.valid = e.valid && len(v.faults) == 0
}

// checkRemovedServices checks that no route refers to a removed service.
func (e *editor) checkRemovedServices(services []string) {
	for _, n := range services {
		_, declared := e.services.table.get(n)
		_, used := e.routeCounts.table.get(n)
		if used && !declared {
			e.valid = false
		}
	}
}
