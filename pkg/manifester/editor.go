package manifester

import "slices"

// editor builds the next version of a manifest and checks, as it goes, what the
// change touches. The version before must be valid, and then so is the next one
// if no check failed.
type editor struct {
	services *edit[*Service]
	teams    *edit[*Team]
	routes   *edit[*Route]
	byKey    *edit[*Team]
	byPrefix *edit[[]*Route]
	users    *edit[int]
	// valid is false once a check failed.
	valid bool
}

func (m *Manifest) editor() *editor {
	return &editor{
		services: m.services.edit(),
		teams:    m.teams.edit(),
		routes:   m.routes.edit(),
		byKey:    m.teamsByKey.edit(),
		byPrefix: m.byPrefix.edit(),
		users:    m.users.edit(),
		valid:    true,
	}
}

func (e *editor) manifest(v Version) *Manifest {
	return &Manifest{
		version:    v,
		services:   e.services.table,
		teams:      e.teams.table,
		routes:     e.routes.table,
		teamsByKey: e.byKey.table,
		byPrefix:   e.byPrefix.table,
		users:      e.users.table,
	}
}

// apply removes and replaces objects. Everything old goes first, so that a key
// or a prefix can move from one object to another within one change.
func (e *editor) apply(c *Change) {
	services, teams, routes := last(c.services), last(c.teams), last(c.routes)
	e.dropTeams(c.removeTeams)
	e.dropTeams(names(teams))
	e.dropRoutes(c.removeRoutes)
	e.dropRoutes(names(routes))
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
	e.check(services, teams, routes)
	e.checkRemoved(c.removeServices)
}

// last returns the objects without those that a later one of the same name
// replaces.
func last[T interface{ Name() string }](list []T) []T {
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

func (e *editor) dropTeams(list []string) {
	for _, n := range list {
		old, ok := e.teams.table.get(n)
		if !ok {
			continue
		}
		for _, d := range old.keyDigests {
			e.byKey.remove(d)
		}
		e.teams.remove(n)
	}
}

func (e *editor) putTeam(t *Team) {
	e.teams.put(t.name, t)
	for _, d := range t.keyDigests {
		if _, taken := e.byKey.table.get(d); taken {
			e.valid = false
		}
		e.byKey.put(d, t)
	}
}

func (e *editor) dropRoutes(list []string) {
	for _, n := range list {
		old, ok := e.routes.table.get(n)
		if !ok {
			continue
		}
		same, _ := e.byPrefix.table.get(old.place())
		same = slices.DeleteFunc(slices.Clone(same), func(r *Route) bool { return r == old })
		if len(same) > 0 {
			e.byPrefix.put(old.place(), same)
		} else {
			e.byPrefix.remove(old.place())
		}
		for _, s := range old.Services() {
			e.use(s, -1)
		}
		e.routes.remove(n)
	}
}

func (e *editor) putRoute(r *Route) {
	e.routes.put(r.name, r)
	same, _ := e.byPrefix.table.get(r.place())
	if slices.ContainsFunc(same, func(o *Route) bool { return o.method == r.method }) {
		e.valid = false
	}
	e.byPrefix.put(r.place(), append(slices.Clone(same), r))
	for _, s := range r.Services() {
		e.use(s, 1)
	}
}

// use counts the routes of a service.
func (e *editor) use(service string, delta int) {
	n, _ := e.users.table.get(service)
	if n+delta == 0 {
		e.users.remove(service)

		return
	}
	e.users.put(service, n+delta)
}

// check checks each object by itself and what it refers to.
func (e *editor) check(services []*Service, teams []*Team, routes []*Route) {
	v := &validator{}
	for _, s := range services {
		v.service(s)
	}
	for _, t := range teams {
		v.team(t, map[string]string{})
	}
	for _, r := range routes {
		v.route(r, e.services.table, map[string]string{})
	}
	e.valid = e.valid && len(v.faults) == 0
}

// checkRemoved looks for routes of services that are gone.
func (e *editor) checkRemoved(services []string) {
	for _, n := range services {
		_, declared := e.services.table.get(n)
		_, used := e.users.table.get(n)
		if used && !declared {
			e.valid = false
		}
	}
}
