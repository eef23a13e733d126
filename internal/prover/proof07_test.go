package prover

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

// TestProof07TrueRefusals checks by the targets' records that no request which
// was told "not-run" ever ran, while targets drain, shed, hang, reset
// connections, are killed, and teams go over their rate.
func TestProof07TrueRefusals(t *testing.T) {
	f := startFleet(t, fleetSpec{
		vms: 3,
		upstreams: map[string]int{
			"bookings":  3,
			"fieldbook": 3,
		},
	})
	f.mustPublish(bookingManifest(f))
	f.ready()
	f.admitted()
	c := newClient(t)
	c.Timeout = 15 * time.Second
	booking, field := f.targets["bookings"], f.targets["fieldbook"]
	booking[0].faults(t, standin.UpstreamFaults{Drain: true})
	booking[1].faults(t, standin.UpstreamFaults{WorkMs: 100, ResetShare: 0.2})
	field[0].faults(t, standin.UpstreamFaults{Drain: true})
	field[1].faults(t, standin.UpstreamFaults{WorkMs: 100, CutShare: 0.2})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, u := range []*upstreamProcess{booking[2], field[2], booking[1]} {
			time.Sleep(700 * time.Millisecond)
			u.kill()
		}
	}()
	answers := calls(48, 2500, func(i int) (string, answer) {
		token := fmt.Sprintf("seven-%d", i)
		r := request{method: http.MethodPost, path: "/bookings/" + token, key: guidesKey, token: token}
		switch i % 4 {
		case 1:
			r.fields = []string{"Idempotency-Key", token}
		case 2:
			r = request{path: "/species/" + token, key: shopsKey, token: token}
		case 3:
			r.fields = []string{"Lagoonkeel-Timeout-Ms", "60"}
		}

		return token, send(c, f.vms[i%3].callers, r)
	})
	<-done
	ran := f.printedRuns("bookings")
	for token, n := range f.printedRuns("fieldbook") {
		ran[token] += n
	}
	codes := map[string]int{}
	notRun, lies, silent := 0, 0, 0
	for token, a := range answers {
		if a.err != nil {
			silent++
		}
		if a.outcome != "" {
			codes[a.String()]++
		}
		if a.outcome != "not-run" {
			continue
		}
		notRun++
		if ran[token] > 0 {
			lies++
			t.Errorf("%s was told %v and ran %d times", token, a, ran[token])
		}
	}
	t.Logf("refusals: %v", codes)
	var out bytes.Buffer
	fmt.Fprintf(&out, "refusals that said not-run came: %v\n", notRun > 0)
	fmt.Fprintf(&out, "of these ran: %d\n", lies)
	fmt.Fprintf(&out, "requests without any answer: %d\n", silent)
	goldie.New(t).Assert(t, "proof07", out.Bytes())
}
