package prover

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const (
	// newGuidesKey replaces guidesKey when that is withdrawn.
	newGuidesKey = "lk_guides-second"
	// unknownKey belongs to nobody.
	unknownKey = "lk_wrong"
)

// withdrawn returns the manifest with another key in the place of the guides'.
func withdrawn(manifest string) string {
	return strings.Replace(manifest, digest(guidesKey), digest(newGuidesKey), 1)
}

// smallFleet starts VMs with a booking and a lookup service, publishes the
// manifest and waits until each VM serves both teams.
func smallFleet(t *testing.T, vms int) *fleet {
	t.Helper()
	f := startFleet(t, fleetSpec{
		vms: vms,
		upstreams: map[string]int{
			"bookings":  2,
			"fieldbook": 2,
		},
	})
	f.mustPublish(bookingManifest(f))
	f.ready()
	c := newClient(t)
	for _, v := range f.vms {
		for _, key := range []string{guidesKey, shopsKey} {
			waitFor(t, v.id+" serves "+key, func() bool {
				return send(c, v.callers, request{path: "/species/warm-up", key: key}).status == 200
			})
		}
	}

	return f
}

// withoutKey reports whether a request of TestProof02Teams had no valid key.
func withoutKey(token string) bool {
	return strings.Contains(token, "unknown") || strings.Contains(token, "no key") ||
		strings.HasPrefix(token, "before") && strings.Contains(token, "second") ||
		strings.HasPrefix(token, "after") && strings.Contains(token, "first")
}

// TestProof02Teams proves that, except on open routes, a request runs only for
// the team whose key came with it.
func TestProof02Teams(t *testing.T) {
	f := smallFleet(t, 3)
	c := newClient(t)
	var out strings.Builder
	ask := func(title string) {
		fmt.Fprintf(&out, "%s\n", title)
		for _, v := range f.vms {
			for _, k := range []struct{ name, key string }{
				{"guides, first key", guidesKey},
				{"guides, second key", newGuidesKey},
				{"shops", shopsKey},
				{"unknown key", unknownKey},
				{"no key", ""},
			} {
				for _, path := range []string{"/species/amanita", "/trails"} {
					r := request{
						path:  path,
						key:   k.key,
						token: title + " " + v.id + " " + k.name,
					}
					fmt.Fprintf(&out, "  %s %s %s: %v\n", v.id, path, k.name, send(c, v.callers, r))
				}
			}
		}
	}
	ask("before")
	f.mustPublish(withdrawn(bookingManifest(f)))
	ask("after the withdrawal")
	for _, r := range append(f.runs("fieldbook"), f.runs("bookings")...) {
		if r.Path != "/trails" && withoutKey(r.Token) {
			t.Errorf("a request ran without a valid key: %s %s", r.Token, r.Path)
		}
	}
	goldie.New(t).Assert(t, "proof02", []byte(out.String()))
}

// TestProof02Reuse proves that a key of two teams is refused before it is
// published.
func TestProof02Reuse(t *testing.T) {
	f := startFleet(t, fleetSpec{
		upstreams: map[string]int{
			"bookings":  1,
			"fieldbook": 1,
		},
	})
	manifest := bookingManifest(f)
	shared := strings.Replace(manifest, digest(shopsKey), digest(guidesKey), 1)
	twice := strings.Replace(manifest, fmt.Sprintf("%q", digest(shopsKey)), fmt.Sprintf("%q, %q", digest(shopsKey), digest(shopsKey)), 1)
	sameName := strings.Replace(shared, `"name": "shops"`, `"name": "guides"`, 1)
	var out strings.Builder
	for _, c := range []struct{ name, manifest string }{
		{"in order", manifest},
		{"a key of two teams", shared},
		{"a key twice in one team", twice},
		{"a key in two teams of one name", sameName},
	} {
		path := f.file("manifest.json", c.manifest)
		code, output := command(t, "lagoonkeel", "check", "manifest", path)
		fmt.Fprintf(&out, "%s: check exits with %d\n%s", c.name, code, strings.ReplaceAll(output, path, "manifest.json"))
		code, _ = f.publish(c.manifest)
		fmt.Fprintf(&out, "  publish exits with %d\n", code)
	}
	goldie.New(t).Assert(t, "proof02-reuse", []byte(out.String()))
}
