package decoder

import (
	"fmt"
	"math"
	"time"

	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	maxSlots       = 1 << 16
	maxConnections = 1 << 20
	maxRate        = 1e9
	maxTimeout     = time.Hour
	defaultTimeout = 10 * time.Second
	// defaultSlots and defaultConnections hold for targets that do not declare
	// these values.
	defaultSlots       = 4
	defaultConnections = 400
)

// Manifest decodes a manifest document and validates the manifest, which gets the given
// version. The error is manifester.Faults.
func Manifest(data []byte, version manifester.Version) (*manifester.Manifest, error) {
	r, c, err := openRoot(data)
	if err != nil {
		return nil, err
	}
	services := readAll(r, "services", readService)
	teams := readAll(r, "teams", readTeam)
	routes := readAll(r, "routes", readRoute)
	r.close()
	checkReplacedTeamKeys(c, teams)
	m, err := manifester.Restore(version, services, teams, routes)
	if faults, ok := err.(manifester.Faults); ok { //nolint:errorlint // Restore returns this type unwrapped.
		c.faults = append(c.faults, faults...)
	}
	if err := c.err(); err != nil {
		return nil, err
	}

	return m, nil
}

// checkReplacedTeamKeys reports keys shared by two teams where a later team of the same
// name replaces one of them. The validation of the manifest misses these, since it sees
// only the last team of each name.
func checkReplacedTeamKeys(c *collector, teams []*manifester.Team) {
	last := map[string]int{}
	for i, t := range teams {
		last[t.Name()] = i
	}
	owners := map[string]int{}
	for i, t := range teams {
		for j, d := range t.KeyDigests() {
			owner, taken := owners[d]
			owners[d] = i
			replaced := taken && (last[teams[owner].Name()] != owner || last[t.Name()] != i)
			if replaced && owner != i {
				c.add(fmt.Sprintf("%s.teams[%d].keys[%d]", rootPath, i, j),
					fmt.Sprintf("the key digest is also a key of the team %q at %s.teams[%d]", teams[owner].Name(), rootPath, owner),
					"a key of its own for each team")
			}
		}
	}
}

// Change decodes the log record of a published change, which it does not validate
// against a manifest. The error is manifester.Faults.
func Change(data []byte) (*manifester.Change, error) {
	r, c, err := openRoot(data)
	if err != nil {
		return nil, err
	}
	spec := manifester.ChangeSpec{
		ID:             manifester.ChangeID(r.text("id")),
		Base:           manifester.Version(r.integer("base", int64(manifester.NoVersion), int64(manifester.NoVersion), math.MaxInt64)),
		Services:       readAll(r, "services", readService),
		Teams:          readAll(r, "teams", readTeam),
		Routes:         readAll(r, "routes", readRoute),
		RemoveServices: r.texts("removeServices"),
		RemoveTeams:    r.texts("removeTeams"),
		RemoveRoutes:   r.texts("removeRoutes"),
	}
	r.close()
	if err := c.err(); err != nil {
		return nil, err
	}

	return manifester.NewChange(spec), nil
}

// readAll reads an array of named objects and reports duplicate names.
func readAll[T interface{ Name() string }](r *reader, name string, read func(*reader) T) []T {
	var list []T
	seen := map[string]bool{}
	r.objects(name, func(o *reader) {
		v := read(o)
		if seen[v.Name()] {
			o.collector.add(o.pathOf("name"), fmt.Sprintf("the name %q is declared twice", v.Name()), "a unique name for each")
		}
		seen[v.Name()] = true
		list = append(list, v)
	})

	return list
}

func readService(r *reader) *manifester.Service {
	var targets []*manifester.Target
	name := r.text("name")
	class := manifester.Class(r.text("class"))
	floor := r.integer("floor", 0, 0, math.MaxInt32)
	r.objects("targets", func(o *reader) {
		targets = append(targets, readTarget(o))
	})

	return manifester.NewService(name, class, int(floor), targets)
}

func readTarget(r *reader) *manifester.Target {
	return manifester.NewTarget(manifester.TargetSpec{
		Name:        r.text("name"),
		Address:     r.text("address"),
		DataCentre:  r.text("dataCentre"),
		Slots:       int(r.integer("slots", defaultSlots, 1, maxSlots)),
		Connections: int(r.integer("connections", defaultConnections, 1, maxConnections)),
		Leaving:     r.boolean("leaving"),
	})
}

func readTeam(r *reader) *manifester.Team {
	return manifester.NewTeam(
		r.text("name"),
		r.number("rate", 0, maxRate),
		r.number("burst", 0, maxRate),
		r.number("weight", 1, maxRate),
		r.texts("keys"),
	)
}

func readRoute(r *reader) *manifester.Route {
	return manifester.NewRoute(manifester.RouteSpec{
		Name:       r.text("name"),
		Method:     r.optionalText("method", manifester.AnyMethod),
		Prefix:     r.text("prefix"),
		Service:    r.text("service"),
		Open:       r.boolean("open"),
		Idempotent: r.boolean("idempotent"),
		Timeout:    r.duration("timeoutMs", defaultTimeout, 0, maxTimeout),
	})
}
