package manifester

import (
	"slices"
	"strings"
)

// Version orders manifests. It is the offset of the log record that brought the manifest
// into force, or the version that the configuration in the platform's store states.
// NoVersion is less than every offset.
type Version int64

// NoVersion is the version of the empty manifest.
const NoVersion Version = -1

// AnyMethod matches every request method.
const AnyMethod = "*"

// Manifest is one version of the declared state, with indexes for the lookups of a
// request.
type Manifest struct {
	version  Version
	services *table[*Service]
	teams    *table[*Team]
	routes   *table[*Route]
	// teamsByKey maps a key digest to its team; no digest has two teams.
	teamsByKey *table[*Team]
	// byPrefix holds the routes of each host and prefix. A request is matched by
	// looking up each prefix of its path, the longest first.
	byPrefix *table[[]*Route]
	// routeCounts holds the number of routes of each service that has at least one.
	routeCounts *table[int]
	// limits bound what callers send; zero where only the VM's own limits apply.
	limits Limits
}

// Empty returns the manifest in force before the first record.
func Empty() *Manifest {
	return &Manifest{
		version:     NoVersion,
		services:    &table[*Service]{},
		teams:       &table[*Team]{},
		routes:      &table[*Route]{},
		teamsByKey:  &table[*Team]{},
		byPrefix:    &table[[]*Route]{},
		routeCounts: &table[int]{},
	}
}

// Version returns the version.
func (m *Manifest) Version() Version { return m.version }

// Service returns the service with the name, and whether it is declared.
func (m *Manifest) Service(name string) (*Service, bool) {
	return m.services.get(name)
}

// Team returns the team with the name, and whether it is declared.
func (m *Manifest) Team(name string) (*Team, bool) {
	return m.teams.get(name)
}

// Route returns the route with the name, and whether it is declared.
func (m *Manifest) Route(name string) (*Route, bool) {
	return m.routes.get(name)
}

// TeamOfKey returns the team that has the key digest, the lower-case hexadecimal SHA-256 of
// a key, and whether there is one.
func (m *Manifest) TeamOfKey(digest string) (*Team, bool) {
	return m.teamsByKey.get(digest)
}

// Services returns all services ordered by name.
func (m *Manifest) Services() []*Service {
	return sortedByName(m.services)
}

// Teams returns all teams ordered by name.
func (m *Manifest) Teams() []*Team {
	return sortedByName(m.teams)
}

// Routes returns all routes ordered by name.
func (m *Manifest) Routes() []*Route {
	return sortedByName(m.routes)
}

// Match is the result of a route lookup.
type Match int

// The results of a route lookup.
const (
	// MatchNone means that no route matches the path.
	MatchNone Match = iota
	// MatchOtherMethod means that routes match the path, but none accepts the method.
	MatchOtherMethod
	// MatchFound means that a route matches.
	MatchFound
)

// FindRoute returns the route with the longest prefix of the path that accepts the
// method. Any route of the given host takes precedence over the routes without a host.
// Of two routes with the same prefix, one of the exact method takes precedence over one of
// any method. A route for subpaths only does not match its prefix itself, unless that is
// "/".
func (m *Manifest) FindRoute(host, method, path string) (*Route, Match) {
	match := MatchNone
	if host != "" {
		r, found := m.findAt(host, method, path)
		if found == MatchFound {
			return r, found
		}
		match = found
	}
	r, found := m.findAt("", method, path)

	return r, max(match, found)
}

// findAt searches the routes of one host, or with host "" those without a host.
func (m *Manifest) findAt(host, method, path string) (*Route, Match) {
	match := MatchNone
	for prefix := path; prefix != ""; prefix = parentPrefix(prefix) {
		routes, _ := m.byPrefix.get(prefixKeyOf(host, prefix))
		if len(routes) == 0 {
			continue
		}
		r := methodRoute(routes, method)
		switch {
		case r == nil:
			match = MatchOtherMethod
		case r.subpathsOnly && prefix == path && path != "/":
		default:
			return r, MatchFound
		}
	}

	return nil, match
}

// parentPrefix removes the last segment of a path: "/a/b" becomes "/a", then "/", then "".
func parentPrefix(path string) string {
	if path == "/" {
		return ""
	}
	i := strings.LastIndexByte(path, '/')
	if i <= 0 {
		return "/"
	}

	return path[:i]
}

func methodRoute(routes []*Route, method string) *Route {
	var fallback *Route
	for _, r := range routes {
		if r.method == method {
			return r
		}
		if r.method == AnyMethod {
			fallback = r
		}
	}

	return fallback
}

func sortedByName[T interface{ Name() string }](t *table[T]) []T {
	list := make([]T, 0, t.size)
	t.each(func(_ string, v T) {
		list = append(list, v)
	})
	slices.SortFunc(list, func(a, b T) int {
		return strings.Compare(a.Name(), b.Name())
	})

	return list
}
