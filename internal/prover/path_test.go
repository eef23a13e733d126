package prover

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const (
	guidesKey = "lk_guides-first"
	shopsKey  = "lk_shops-first"
)

// bookingManifest declares a booking service and a lookup service for two teams.
func bookingManifest(f *fleet) string {
	return fmt.Sprintf(`{
  "services": [
    {"name": "bookings", "class": "booking", "floor": 4, "targets": %s},
    {"name": "fieldbook", "class": "lookup", "floor": 4, "targets": %s}],
  "teams": [
    {"name": "guides", "rate": 500, "burst": 100, "keys": [%q]},
    {"name": "shops", "rate": 500, "burst": 100, "keys": [%q]}],
  "routes": [
    {"name": "book", "method": "POST", "prefix": "/bookings", "service": "bookings", "timeoutMs": 5000},
    {"name": "species", "method": "GET", "prefix": "/species", "service": "fieldbook", "idempotent": true, "timeoutMs": 5000},
    {"name": "open", "method": "GET", "prefix": "/trails", "service": "fieldbook", "idempotent": true, "open": true}]}`,
		f.targetsJSON("bookings"), f.targetsJSON("fieldbook"), digest(guidesKey), digest(shopsKey))
}

// TestWholePath sends requests through every VM of a fleet whose parts each run
// in a process of their own, compares the answers with the golden file, and then
// stops each VM.
func TestWholePath(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{
		vms: 3,
		upstreams: map[string]int{
			"bookings":  2,
			"fieldbook": 2,
		},
	})
	f.mustPublish(bookingManifest(f))
	f.waitReady()
	c := newClient(t)
	var out strings.Builder
	for _, v := range f.vms {
		for _, r := range []request{
			{method: http.MethodPost, path: "/bookings/1", key: guidesKey},
			{path: "/species/amanita", key: shopsKey},
			{path: "/trails", key: ""},
			{path: "/species/amanita", key: "lk_wrong"},
			{path: "/species/amanita"},
			{path: "/nowhere", key: guidesKey},
		} {
			fmt.Fprintf(&out, "%s %s %s: %v\n", v.id, r.path, r.key, send(c, v.callersAddr, r))
		}
	}
	goldie.New(t).Assert(t, "path", []byte(out.String()))
	for _, v := range f.vms {
		v.terminate()
		if code := v.exitCode(); code != 0 {
			t.Errorf("%s stopped with exit code %d", v.id, code)
		}
	}
}
