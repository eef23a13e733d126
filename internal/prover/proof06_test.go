package prover

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

// TestProof06WholeAnswers guards against answers that are truncated or belong to
// another request. Many callers send at once while targets answer late, truncate or
// repeat an answer, or reset a connection.
func TestProof06WholeAnswers(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{
		vms: 2,
		upstreams: map[string]int{
			"bookings":  3,
			"fieldbook": 3,
		},
	})
	f.mustPublish(highRateManifest(f))
	f.waitReady()
	f.waitKeyedBookings()
	for _, service := range []string{"bookings", "fieldbook"} {
		for _, u := range f.targets[service] {
			u.setFaults(t, standin.UpstreamFaults{
				SlowShare: 0.1, SlowMs: 120,
				CutShare: 0.1, DoubleShare: 0.1, ResetShare: 0.05,
			})
		}
	}
	c := newClient(t)
	c.Timeout = 10 * time.Second
	const requests = 2000
	answers := sendConcurrently(24, requests, func(i int) (string, answer) {
		token := fmt.Sprintf("six-%d", i)
		r := request{path: "/species/" + token, key: guidesKey, token: token}
		if i%3 == 0 {
			r.method = http.MethodPost
			r.path = "/bookings/" + token
		}
		if i%5 == 0 { // The caller's deadline ends while the upstream works.
			r.fields = []string{"Lagoonkeel-Timeout-Ms", "40"}
		}

		return token, send(c, f.vms[i%2].callersAddr, r)
	})
	whole, refused, wrong := 0, 0, 0
	for token, a := range answers {
		switch {
		case a.err != nil:
			t.Errorf("%s got no answer: %v", token, a.err)
		case a.outcome != "":
			refused++
		case a.fields.Get("Test-Token") != token || !strings.Contains(a.body, fmt.Sprintf("%q", token)):
			wrong++
			t.Errorf("%s got the answer %q", token, a.body)
		default:
			whole++
		}
	}
	t.Logf("%d whole answers, %d refusals", whole, refused)
	var out bytes.Buffer
	fmt.Fprintf(&out, "every request was answered or refused: %v\n", whole+refused == requests)
	fmt.Fprintf(&out, "answers that were truncated or belong to another request: %d\n", wrong)
	fmt.Fprintf(&out, "callers got both answers and refusals: %v\n", whole > 0 && refused > 0)
	goldie.New(t).Assert(t, "proof06", out.Bytes())
}
