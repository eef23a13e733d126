package manifester_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// The largest manifest of the benchmarks. Smaller ones have services and routes in
// proportion to their teams.
const (
	largestTeams    = 930_000
	largestRoutes   = 84_000
	largestServices = 2_600
	largestTargets  = 94_000
)

func digestOf(name string) string {
	sum := sha256.Sum256([]byte(name))

	return hex.EncodeToString(sum[:])
}

func scaled(teams, largest int) int { return max(1, largest*teams/largestTeams) }

func benchTeam(i int, key string) *manifester.Team {
	return manifester.NewTeam("team-"+strconv.Itoa(i), 100, 20, 1, []string{digestOf(key)})
}

// fleetObjects returns the objects of a manifest with the given number of teams.
func fleetObjects(teams int) ([]*manifester.Service, []*manifester.Team, []*manifester.Route) {
	services := make([]*manifester.Service, scaled(teams, largestServices))
	for i := range services {
		targets := make([]*manifester.Target, largestTargets/largestServices)
		for j := range targets {
			targets[j] = manifester.NewTarget(manifester.TargetSpec{
				Name:        fmt.Sprintf("t-%d", j),
				Address:     fmt.Sprintf("10.%d.%d.%d:8080", i/256, i%256, j+1),
				DataCentre:  "kandy",
				Slots:       4,
				Connections: 400,
			})
		}
		services[i] = manifester.NewService("service-"+strconv.Itoa(i), manifester.ClassLookup, 4, targets)
	}
	list := make([]*manifester.Team, teams)
	for i := range list {
		list[i] = benchTeam(i, "key-"+strconv.Itoa(i))
	}
	routes := make([]*manifester.Route, scaled(teams, largestRoutes))
	for i := range routes {
		routes[i] = manifester.NewRoute(manifester.RouteSpec{
			Name:    "route-" + strconv.Itoa(i),
			Method:  "GET",
			Prefix:  "/p/" + strconv.Itoa(i),
			Service: "service-" + strconv.Itoa(i%len(services)),
			Timeout: time.Second,
		})
	}

	return services, list, routes
}

func benchManifest(b *testing.B, teams int) *manifester.Manifest {
	b.Helper()
	services, list, routes := fleetObjects(teams)
	m, err := manifester.Restore(0, services, list, routes)
	if err != nil {
		b.Fatal(err)
	}

	return m
}

// BenchmarkApply measures a change of one team and its key.
func BenchmarkApply(b *testing.B) {
	for _, teams := range []int{1_000, 10_000, 100_000, largestTeams} {
		b.Run(strconv.Itoa(teams), func(b *testing.B) {
			m := benchManifest(b, teams)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				c := manifester.NewChange(manifester.ChangeSpec{
					Base:  m.Version(),
					Teams: []*manifester.Team{benchTeam(n%teams, "new-key-"+strconv.Itoa(n))},
				})
				next, err := m.Apply(c, m.Version()+1)
				if err != nil {
					b.Fatal(err)
				}
				m = next
			}
		})
	}
}

// BenchmarkRestore measures the construction of a whole manifest and reports its heap
// memory in total and per team.
func BenchmarkRestore(b *testing.B) {
	for _, teams := range []int{1_000, 10_000, 100_000, largestTeams} {
		b.Run(strconv.Itoa(teams), func(b *testing.B) {
			var m *manifester.Manifest
			before := heapBytes()
			for b.Loop() {
				m = benchManifest(b, teams)
			}
			kept := float64(heapBytes() - before)
			b.ReportMetric(kept/(1<<20), "MB-kept")
			b.ReportMetric(kept/float64(teams), "B/team")
			runtime.KeepAlive(m)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)

	return s.HeapAlloc
}

// BenchmarkLookup measures the two lookups of a request: the team of its key, and its
// route.
func BenchmarkLookup(b *testing.B) {
	for _, teams := range []int{1_000, largestTeams} {
		b.Run(strconv.Itoa(teams), func(b *testing.B) {
			m := benchManifest(b, teams)
			digest := digestOf("key-7")
			for b.Loop() {
				if _, ok := m.TeamOfKey(digest); !ok {
					b.Fatal("no team")
				}
				if _, match := m.FindRoute("", "GET", "/p/7/a/b"); match != manifester.MatchFound {
					b.Fatal("no route")
				}
			}
		})
	}
}
