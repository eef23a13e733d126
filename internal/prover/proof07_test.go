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

// TestProof07TrueRefusals guards against refusals with the outcome "not-run" for
// requests that ran, according to the output of the targets. Targets drain, truncate
// answers, reset connections and are killed, teams exceed their rate, and some
// deadlines are short.
func TestProof07TrueRefusals(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{
		vms: 3,
		upstreams: map[string]int{
			"bookings":  3,
			"fieldbook": 3,
		},
	})
	f.mustPublish(bookingManifest(f))
	f.waitReady()
	f.waitKeyedBookings()
	c := newClient(t)
	c.Timeout = 15 * time.Second
	booking, field := f.targets["bookings"], f.targets["fieldbook"]
	booking[0].setFaults(t, standin.UpstreamFaults{Drain: true})
	booking[1].setFaults(t, standin.UpstreamFaults{WorkMs: 100, ResetShare: 0.2})
	field[0].setFaults(t, standin.UpstreamFaults{Drain: true})
	field[1].setFaults(t, standin.UpstreamFaults{WorkMs: 100, CutShare: 0.2})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, u := range []*upstreamProcess{booking[2], field[2], booking[1]} {
			time.Sleep(700 * time.Millisecond)
			u.kill()
		}
	}()
	answers := sendConcurrently(48, 2500, func(i int) (string, answer) {
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

		return token, send(c, f.vms[i%3].callersAddr, r)
	})
	<-done
	ran := f.printedRuns("bookings")
	for token, n := range f.printedRuns("fieldbook") {
		ran[token] += n
	}
	codes := map[string]int{}
	notRun, falseRefusals, unanswered := 0, 0, 0
	for token, a := range answers {
		if a.err != nil {
			unanswered++
		}
		if a.outcome != "" {
			codes[a.String()]++
		}
		if a.outcome != "not-run" {
			continue
		}
		notRun++
		if ran[token] > 0 {
			falseRefusals++
			t.Errorf("%s was refused with %v and ran %d times", token, a, ran[token])
		}
	}
	t.Logf("refusals: %v", codes)
	var out bytes.Buffer
	fmt.Fprintf(&out, "requests were refused as not-run: %v\n", notRun > 0)
	fmt.Fprintf(&out, "requests refused as not-run that ran: %d\n", falseRefusals)
	fmt.Fprintf(&out, "requests without an answer: %d\n", unanswered)
	goldie.New(t).Assert(t, "proof07", out.Bytes())
}
