package manifester //nolint:testpackage // It compares the editor with the full validation.

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// model is a manifest in plain maps, changed as the documentation says.
type model struct {
	services map[string]*Service
	teams    map[string]*Team
	routes   map[string]*Route
}

func put[T interface{ Name() string }](old map[string]T, list []T, remove []string) map[string]T {
	next := maps.Clone(old)
	for _, n := range remove {
		delete(next, n)
	}
	for _, v := range list {
		next[v.Name()] = v
	}

	return next
}

func (m model) with(c *Change) model {
	return model{
		services: put(m.services, c.services, c.removeServices),
		teams:    put(m.teams, c.teams, c.removeTeams),
		routes:   put(m.routes, c.routes, c.removeRoutes),
	}
}

// manifest builds the model from nothing, without any check.
func (m model) manifest(v Version) *Manifest {
	e := Empty().editor()
	for _, s := range m.services {
		e.services.put(s.name, s)
	}
	for _, t := range m.teams {
		e.putTeam(t)
	}
	for _, r := range m.routes {
		e.putRoute(r)
	}

	return e.manifest(v)
}

// source makes random objects out of few names, so that they often collide.
type source struct {
	*rand.Rand
}

func (s source) name(kind string) string { return fmt.Sprintf("%s%d", kind, s.IntN(4)) }

func (s source) key() string {
	sum := sha256.Sum256([]byte{byte(s.IntN(6))})

	return hex.EncodeToString(sum[:])
}

func (s source) service() *Service {
	return NewService(s.name("s"), ClassLookup, s.IntN(7), []*Target{
		NewTarget(TargetSpec{
			Name:        "t",
			Address:     "10.0.0.1:80",
			DataCentre:  "kandy",
			Slots:       4,
			Connections: 4,
		}),
	})
}

func (s source) team() *Team {
	var keys []string
	for range s.IntN(3) {
		keys = append(keys, s.key())
	}

	return NewTeam(s.name("t"), float64(s.IntN(10)), 5, 1, keys)
}

func (s source) route() *Route {
	return NewRoute(RouteSpec{
		Name:    s.name("r"),
		Method:  []string{"GET", "PUT", AnyMethod}[s.IntN(3)],
		Prefix:  []string{"/", "/a", "/a/b"}[s.IntN(3)],
		Service: s.name("s"),
		Timeout: time.Second,
	})
}

func several[T any](s source, f func() T) []T {
	var list []T
	for range s.IntN(3) {
		list = append(list, f())
	}

	return list
}

func (s source) change(base Version) *Change {
	return NewChange(ChangeSpec{
		Base:           base,
		Services:       several(s, s.service),
		Teams:          several(s, s.team),
		Routes:         several(s, s.route),
		RemoveServices: several(s, func() string { return s.name("s") }),
		RemoveTeams:    several(s, func() string { return s.name("t") }),
		RemoveRoutes:   several(s, func() string { return s.name("r") }),
	})
}

// same compares everything that a manifest can be asked for.
func same(a, b *Manifest) error {
	if !reflect.DeepEqual(a.Services(), b.Services()) || !reflect.DeepEqual(a.Teams(), b.Teams()) || !reflect.DeepEqual(a.Routes(), b.Routes()) {
		return fmt.Errorf("the objects differ")
	}
	if a.services.size != len(a.Services()) || a.teams.size != len(a.Teams()) || a.routes.size != len(a.Routes()) {
		return fmt.Errorf("a size is wrong")
	}
	for i := range 4 {
		n := fmt.Sprintf("s%d", i)
		x, _ := a.users.get(n)
		y, _ := b.users.get(n)
		if x != y {
			return fmt.Errorf("the numbers of routes of %s differ", n)
		}
	}

	return sameLookups(a, b)
}

func sameLookups(a, b *Manifest) error {
	for i := range 6 {
		sum := sha256.Sum256([]byte{byte(i)})
		d := hex.EncodeToString(sum[:])
		x, _ := a.TeamOfKey(d)
		y, _ := b.TeamOfKey(d)
		if x != y {
			return fmt.Errorf("the teams of key %d differ", i)
		}
	}
	for _, method := range []string{"GET", "PUT", "POST"} {
		for _, path := range []string{"/", "/a", "/a/b", "/a/b/c", "/b"} {
			x, p := a.FindRoute("", method, path)
			y, q := b.FindRoute("", method, path)
			if x != y || p != q {
				return fmt.Errorf("the routes of %s %s differ", method, path)
			}
		}
	}

	return nil
}

// run applies random changes and compares each with the model. It returns how
// many were accepted.
func run(seed uint64, steps int) (accepted int, err error) {
	s := source{
		Rand: rand.New(rand.NewPCG(seed, seed)),
	}
	at := model{
		services: map[string]*Service{},
		teams:    map[string]*Team{},
		routes:   map[string]*Route{},
	}
	m, old := Empty(), Empty()
	for i := range steps {
		c := s.change(m.version)
		next := at.with(c)
		want := next.manifest(Version(i))
		faults := want.validate()
		got, err := m.Apply(c, Version(i))
		if err := same(m, old); err != nil {
			return 0, fmt.Errorf("step %d changed the old version: %w", i, err)
		}
		if len(faults) > 0 {
			if err == nil || err.Error() != faults.Error() {
				return 0, fmt.Errorf("step %d: got %q, want %q", i, fmt.Sprint(err), faults.Error())
			}

			continue
		}
		if err != nil {
			return 0, fmt.Errorf("step %d: refused without a fault: %w", i, err)
		}
		if err := same(got, want); err != nil {
			return 0, fmt.Errorf("step %d: %w", i, err)
		}
		m, old, at = got, want, next
		accepted++
	}

	return accepted, nil
}

// TestApplyEqualsFullValidation holds the incremental validation equal to the
// full one on random histories.
func TestApplyEqualsFullValidation(t *testing.T) {
	const seed, histories, steps = 20261204, 150, 60
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = histories
	properties := gopter.NewProperties(parameters)
	total := 0
	properties.Property("each change is decided as by full validation", prop.ForAll(
		func(seed uint64) (bool, error) {
			n, err := run(seed, steps)
			total += n

			return err == nil, err
		}, gen.UInt64()))
	properties.TestingRun(t)
	if total < histories*steps/20 {
		t.Errorf("only %d of %d changes were accepted: the histories prove little", total, histories*steps)
	}
	t.Logf("%d of %d changes accepted", total, histories*steps)
}
