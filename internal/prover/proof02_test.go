package prover

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const (
	// newGuidesKey replaces guidesKey when guidesKey is withdrawn.
	newGuidesKey = "lk_guides-second"
	// unknownKey belongs to no team.
	unknownKey = "lk_wrong"
)

// replaceGuidesKey returns the manifest with newGuidesKey in place of guidesKey,
// which withdraws guidesKey.
func replaceGuidesKey(manifest string) string {
	return strings.Replace(manifest, digest(guidesKey), digest(newGuidesKey), 1)
}

// startServingFleet starts VMs with a booking service and a lookup service,
// publishes bookingManifest and waits until each VM serves both teams.
func startServingFleet(t *testing.T, vms int) *fleet {
	t.Helper()
	f := startFleet(t, fleetSpec{
		vms: vms,
		upstreams: map[string]int{
			"bookings":  2,
			"fieldbook": 2,
		},
	})
	f.mustPublish(bookingManifest(f))
	f.waitReady()
	c := newClient(t)
	for _, v := range f.vms {
		for _, key := range []string{guidesKey, shopsKey} {
			waitFor(t, v.id+" serves "+key, func() bool {
				return send(c, v.callersAddr, request{path: "/species/warm-up", key: key}).status == 200
			})
		}
	}

	return f
}

// lacksValidKey reports whether the request of TestProof02Teams with this token
// carried no valid key.
func lacksValidKey(token string) bool {
	return strings.Contains(token, "unknown") || strings.Contains(token, "no key") ||
		strings.HasPrefix(token, "before") && strings.Contains(token, "second") ||
		strings.HasPrefix(token, "after") && strings.Contains(token, "first")
}

// TestProof02Teams guards against requests that run without a valid key on routes
// that are not open, for each kind of key, before and after a key is withdrawn.
func TestProof02Teams(t *testing.T) {
	t.Parallel()
	f := startServingFleet(t, 3)
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
					fmt.Fprintf(&out, "  %s %s %s: %v\n", v.id, path, k.name, send(c, v.callersAddr, r))
				}
			}
		}
	}
	ask("before")
	f.mustPublish(replaceGuidesKey(bookingManifest(f)))
	ask("after the withdrawal")
	for _, r := range append(f.runs("fieldbook"), f.runs("bookings")...) {
		if r.Path != "/trails" && lacksValidKey(r.Token) {
			t.Errorf("a request ran without a valid key: %s %s", r.Token, r.Path)
		}
	}
	goldie.New(t).Assert(t, "proof02", []byte(out.String()))
}

// TestProof02Reuse guards against a manifest that lists a key twice, in two teams or
// in one: `lagoonkeel check` and `lagoonkeel publish` must both refuse it.
func TestProof02Reuse(t *testing.T) {
	t.Parallel()
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
		{"valid", manifest},
		{"a key in two teams", shared},
		{"a key twice in one team", twice},
		{"a key in two teams with the same name", sameName},
	} {
		path := f.writeFile("manifest.json", c.manifest)
		code, output := command(t, "lagoonkeel", "check", "manifest", path)
		fmt.Fprintf(&out, "%s: check exits with %d\n%s", c.name, code, strings.ReplaceAll(output, path, "manifest.json"))
		code, _ = f.publish(c.manifest)
		fmt.Fprintf(&out, "  publish exits with %d\n", code)
	}
	goldie.New(t).Assert(t, "proof02-reuse", []byte(out.String()))
}
