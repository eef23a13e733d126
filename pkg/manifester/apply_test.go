package manifester //nolint:testpackage // It compares the editor with the full validation, which is not exported.

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

// model is a reference implementation of a manifest with plain maps.
type model struct {
	services map[string]*Service
	teams    map[string]*Team
	routes   map[string]*Route
}

func mergeObjects[T interface{ Name() string }](old map[string]T, list []T, remove []string) map[string]T {
	next := maps.Clone(old)
	for _, n := range remove {
		delete(next, n)
	}
	for _, v := range list {
		next[v.Name()] = v
	}

	return next
}

func (m model) apply(c *Change) model {
	return model{
		services: mergeObjects(m.services, c.services, c.removeServices),
		teams:    mergeObjects(m.teams, c.teams, c.removeTeams),
		routes:   mergeObjects(m.routes, c.routes, c.removeRoutes),
	}
}

// manifest builds the manifest of the model without validation.
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

// generator generates random objects from a few names, so that names often collide.
type generator struct {
	*rand.Rand
}

func (g generator) name(kind string) string { return fmt.Sprintf("%s%d", kind, g.IntN(4)) }

func (g generator) key() string {
	sum := sha256.Sum256([]byte{byte(g.IntN(6))})

	return hex.EncodeToString(sum[:])
}

func (g generator) service() *Service {
	return NewService(g.name("s"), ClassLookup, g.IntN(7), []*Target{
		NewTarget(TargetSpec{
			Name:        "t",
			Address:     "10.0.0.1:80",
			DataCentre:  "kandy",
			Slots:       4,
			Connections: 4,
		}),
	})
}

func (g generator) team() *Team {
	var keys []string
	for range g.IntN(3) {
		keys = append(keys, g.key())
	}

	return NewTeam(g.name("t"), float64(g.IntN(10)), 5, 1, keys)
}

func (g generator) route() *Route {
	return NewRoute(RouteSpec{
		Name:    g.name("r"),
		Method:  []string{"GET", "PUT", AnyMethod}[g.IntN(3)],
		Prefix:  []string{"/", "/a", "/a/b"}[g.IntN(3)],
		Service: g.name("s"),
		Timeout: time.Second,
	})
}

func randomList[T any](g generator, f func() T) []T {
	var list []T
	for range g.IntN(3) {
		list = append(list, f())
	}

	return list
}

func (g generator) change(base Version) *Change {
	return NewChange(ChangeSpec{
		Base:           base,
		Services:       randomList(g, g.service),
		Teams:          randomList(g, g.team),
		Routes:         randomList(g, g.route),
		RemoveServices: randomList(g, func() string { return g.name("s") }),
		RemoveTeams:    randomList(g, func() string { return g.name("t") }),
		RemoveRoutes:   randomList(g, func() string { return g.name("r") }),
	})
}

// compare returns an error unless the objects, the counts and the lookups of both
// manifests agree.
func compare(a, b *Manifest) error {
	if !reflect.DeepEqual(a.Services(), b.Services()) || !reflect.DeepEqual(a.Teams(), b.Teams()) || !reflect.DeepEqual(a.Routes(), b.Routes()) {
		return fmt.Errorf("the objects differ")
	}
	if a.services.size != len(a.Services()) || a.teams.size != len(a.Teams()) || a.routes.size != len(a.Routes()) {
		return fmt.Errorf("a size is wrong")
	}
	for i := range 4 {
		n := fmt.Sprintf("s%d", i)
		x, _ := a.routeCounts.get(n)
		y, _ := b.routeCounts.get(n)
		if x != y {
			return fmt.Errorf("the route counts of %s differ", n)
		}
	}

	return compareLookups(a, b)
}

func compareLookups(a, b *Manifest) error {
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

// runHistory applies random changes and compares the result of each with the model. It
// returns the number of accepted changes.
func runHistory(seed uint64, steps int) (accepted int, err error) {
	g := generator{
		Rand: rand.New(rand.NewPCG(seed, seed)),
	}
	current := model{
		services: map[string]*Service{},
		teams:    map[string]*Team{},
		routes:   map[string]*Route{},
	}
	m, old := Empty(), Empty()
	for i := range steps {
		c := g.change(m.version)
		next := current.apply(c)
		want := next.manifest(Version(i))
		faults := want.validate()
		got, err := m.Apply(c, Version(i))
		if err := compare(m, old); err != nil {
			return 0, fmt.Errorf("step %d modified the previous version: %w", i, err)
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
		if err := compare(got, want); err != nil {
			return 0, fmt.Errorf("step %d: %w", i, err)
		}
		m, old, current = got, want, next
		accepted++
	}

	return accepted, nil
}

// TestApplyEqualsFullValidation checks that Apply, which validates only what a change
// affects, accepts and refuses the same changes as full validation, with the same result.
// It uses random sequences of changes.
func TestApplyEqualsFullValidation(t *testing.T) {
	const seed, histories, steps = 20261204, 150, 60
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = histories
	properties := gopter.NewProperties(parameters)
	total := 0
	properties.Property("Apply agrees with full validation on each change", prop.ForAll(
		func(seed uint64) (bool, error) {
			n, err := runHistory(seed, steps)
			total += n

			return err == nil, err
		}, gen.UInt64()))
	properties.TestingRun(t)
	if total < histories*steps/20 {
		t.Errorf("only %d of %d changes were accepted, too few for a meaningful comparison", total, histories*steps)
	}
	t.Logf("%d of %d changes accepted", total, histories*steps)
}
