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
	// listLag is how much later than the truth the platform's list is.
	listLag = 500 * time.Millisecond
	// noWorkAfter bounds the new work of a leaving target.
	noWorkAfter = 3 * time.Second
)

// TestProof09Leaving has one target leave by the platform's list, one by the
// manifest and one by its own word. None runs a request that began later than
// the bound, and no caller is refused.
func TestProof09Leaving(t *testing.T) {
	f := startFleet(t, fleetSpec{
		vms: 3,
		upstreams: map[string]int{
			"fieldbook": 5,
		},
	})
	f.mustPublish(trailsManifest(f, 4))
	f.ready()
	putJSON(t, "http://"+f.vmsAddr+"/faults", standin.VMsFaults{LagMs: int(listLag.Milliseconds())})
	stop := trailsLoad(t, f, 9, 10*time.Millisecond)
	targets := f.targets["fieldbook"]
	var out strings.Builder
	for _, c := range []struct {
		how   string
		u     *upstreamProcess
		leave func(u *upstreamProcess)
	}{
		{"by the list", targets[0], func(u *upstreamProcess) {
			f.leaving[u.address] = true
			f.list()
		}},
		{"by the manifest", targets[1], func(u *upstreamProcess) { f.mustPublish(trailsManifest(f, 4, u.name)) }},
		{"by its own word", targets[2], func(u *upstreamProcess) { u.faults(t, standin.UpstreamFaults{Drain: true}) }},
	} {
		waitFor(t, c.u.name+" has work", func() bool { return len(runsOf(t, c.u.address)) > 20 })
		c.leave(c.u)
		time.Sleep(noWorkAfter)
		before := len(runsOf(t, c.u.address))
		known := everyLeaves(f, c.u.name)
		time.Sleep(2 * time.Second)
		fmt.Fprintf(&out, "%s: known on every VM: %v, new work after %v: %d\n", c.how, known, noWorkAfter, len(runsOf(t, c.u.address))-before)
	}
	sums := stop()
	const served = "200 answered by the upstream"
	if sums.counts[served] < 500 {
		t.Errorf("only %d requests were answered", sums.counts[served])
	}
	fmt.Fprintf(&out, "answers that are no success:\n%s", sums.others(served))
	goldie.New(t).Assert(t, "proof09", []byte(out.String()))
}
