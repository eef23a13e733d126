package manifester

import "fmt"

// ChangeID identifies a published change. Each attempt to publish has a unique id.
type ChangeID string

// Change lists the objects that are added, replaced or removed together.
type Change struct {
	id ChangeID
	// base is the version that the change was made against.
	base           Version
	services       []*Service
	teams          []*Team
	routes         []*Route
	removeServices []string
	removeTeams    []string
	removeRoutes   []string
}

// ChangeSpec lists the attributes of a change.
type ChangeSpec struct {
	ID             ChangeID
	Base           Version
	Services       []*Service
	Teams          []*Team
	Routes         []*Route
	RemoveServices []string
	RemoveTeams    []string
	RemoveRoutes   []string
}

// NewChange returns a change.
func NewChange(s ChangeSpec) *Change {
	return &Change{
		id:             s.ID,
		base:           s.Base,
		services:       s.Services,
		teams:          s.Teams,
		routes:         s.Routes,
		removeServices: s.RemoveServices,
		removeTeams:    s.RemoveTeams,
		removeRoutes:   s.RemoveRoutes,
	}
}

// ID returns the id of the attempt to publish.
func (c *Change) ID() ChangeID { return c.id }

// Base returns the version that the change was made against.
func (c *Change) Base() Version { return c.base }

// Services returns the services that are added or replaced.
func (c *Change) Services() []*Service { return c.services }

// Teams returns the teams that are added or replaced.
func (c *Change) Teams() []*Team { return c.teams }

// Routes returns the routes that are added or replaced.
func (c *Change) Routes() []*Route { return c.routes }

// RemovedServices returns the names of the services that are removed.
func (c *Change) RemovedServices() []string { return c.removeServices }

// RemovedTeams returns the names of the teams that are removed.
func (c *Change) RemovedTeams() []string { return c.removeTeams }

// RemovedRoutes returns the names of the routes that are removed.
func (c *Change) RemovedRoutes() []string { return c.removeRoutes }

// Size returns the number of objects that the change adds, replaces or removes.
func (c *Change) Size() int {
	return len(c.services) + len(c.teams) + len(c.routes) +
		len(c.removeServices) + len(c.removeTeams) + len(c.removeRoutes)
}

// ConflictError reports a change made against a version that is no longer in
// force.
type ConflictError struct {
	base    Version
	inForce Version
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change was made against version %d, but version %d is in force: read it and publish again", e.base, e.inForce)
}

// InForce returns the version in force.
func (e *ConflictError) InForce() Version { return e.inForce }

// Apply returns the manifest after the change, with the given version and no limits. It
// returns a *ConflictError if the base of the change is not the version of m, and Faults
// if the result is invalid. It does not modify m.
func (m *Manifest) Apply(c *Change, v Version) (*Manifest, error) {
	if c.base != m.version {
		return nil, &ConflictError{
			base:    c.base,
			inForce: m.version,
		}
	}
	e := m.editor()
	e.apply(c)
	next := e.manifest(v)
	if e.valid {
		return next, nil
	}

	return nil, next.validate()
}

// Restore returns the manifest of the objects, such as those of a snapshot, with the given
// version. If several objects of a kind have the same name, the last one counts. It returns
// Faults if the manifest is invalid.
func Restore(v Version, services []*Service, teams []*Team, routes []*Route) (*Manifest, error) {
	e := Empty().editor()
	e.apply(&Change{
		services: services,
		teams:    teams,
		routes:   routes,
	})
	m := e.manifest(v)
	if e.valid {
		return m, nil
	}

	return nil, m.validate()
}

// Diff returns the change, with the given id, that makes the objects of m equal to those
// of the other manifest. It ignores limits.
func (m *Manifest) Diff(id ChangeID, to *Manifest) *Change {
	c := &Change{
		id:   id,
		base: m.version,
	}
	c.services, c.removeServices = diff(m.services, to.services, sameService)
	c.teams, c.removeTeams = diff(m.teams, to.teams, sameTeam)
	c.routes, c.removeRoutes = diff(m.routes, to.routes, sameRoute)

	return c
}

func diff[T interface{ Name() string }](from, to *table[T], same func(a, b T) bool) (put []T, remove []string) {
	for _, v := range sortedByName(to) {
		old, ok := from.get(v.Name())
		if !ok || !same(old, v) {
			put = append(put, v)
		}
	}
	for _, v := range sortedByName(from) {
		if _, ok := to.get(v.Name()); !ok {
			remove = append(remove, v.Name())
		}
	}

	return put, remove
}

func sameService(a, b *Service) bool {
	if a.listed != b.listed || a.connections != b.connections || a.warmUpRate != b.warmUpRate {
		return false
	}
	if a.class != b.class || a.floor != b.floor || len(a.targets) != len(b.targets) {
		return false
	}
	for i := range a.targets {
		if *a.targets[i] != *b.targets[i] {
			return false
		}
	}

	return true
}

func sameTeam(a, b *Team) bool {
	if a.rate != b.rate || a.burst != b.burst || a.weight != b.weight || a.priority != b.priority || len(a.keyDigests) != len(b.keyDigests) {
		return false
	}
	for i := range a.keyDigests {
		if a.keyDigests[i] != b.keyDigests[i] {
			return false
		}
	}

	return true
}

func sameRoute(a, b *Route) bool {
	return a.equal(b)
}
