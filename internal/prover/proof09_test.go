package prover

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

const (
	// listLag is the delay with which the platform's VM list shows a change.
	listLag = 500 * time.Millisecond
	// noRequestsAfter is the time after which a leaving target must get no new request.
	noRequestsAfter = 3 * time.Second
)

// TestProof09Leaving guards against new requests to a target that is leaving, and
// against refusals to callers meanwhile. One target is marked as leaving in the
// platform's VM list, one in the manifest, and one says in its answers that it
// drains. None may start a request once noRequestsAfter has passed since it
// began to leave.
func TestProof09Leaving(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{
		vms: 3,
		upstreams: map[string]int{
			"fieldbook": 5,
		},
	})
	f.mustPublish(trailsManifest(f, 4))
	f.waitReady()
	putJSON(t, "http://"+f.vmsAddr+"/faults", standin.VMsFaults{LagMs: int(listLag.Milliseconds())})
	stop := startTrailsLoad(t, f, 9, 10*time.Millisecond)
	targets := f.targets["fieldbook"]
	var out strings.Builder
	for _, c := range []struct {
		how   string
		u     *upstreamProcess
		leave func(u *upstreamProcess)
	}{
		{"by the VM list", targets[0], func(u *upstreamProcess) {
			f.leaving[u.address] = true
			f.updateList()
		}},
		{"by the manifest", targets[1], func(u *upstreamProcess) { f.mustPublish(trailsManifest(f, 4, u.name)) }},
		{"by its own answers", targets[2], func(u *upstreamProcess) { u.setFaults(t, standin.UpstreamFaults{Drain: true}) }},
	} {
		waitFor(t, c.u.name+" has run requests", func() bool { return len(runsOf(t, c.u.address)) > 20 })
		c.leave(c.u)
		time.Sleep(noRequestsAfter)
		before := len(runsOf(t, c.u.address))
		known := allLeaving(f, c.u.name)
		time.Sleep(2 * time.Second)
		fmt.Fprintf(&out, "%s: known on every VM: %v, new requests after %v: %d\n", c.how, known, noRequestsAfter, len(runsOf(t, c.u.address))-before)
	}
	answers := stop()
	const served = "200 answered by the upstream"
	if answers.counts[served] < 500 {
		t.Errorf("only %d requests were answered", answers.counts[served])
	}
	fmt.Fprintf(&out, "unsuccessful answers:\n%s", answers.except(served))
	goldie.New(t).Assert(t, "proof09", []byte(out.String()))
}
