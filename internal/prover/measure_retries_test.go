package prover

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

// retryResult holds the measurements of one load.
type retryResult struct {
	Requests int `json:"requests"`
	// Attempts counts the attempts that targets ran or refused.
	Attempts      int            `json:"attempts"`
	Amplification float64        `json:"amplification"`
	Statuses      map[string]int `json:"statuses"`
	P50Millis     float64        `json:"p50Millis"`
	P99Millis     float64        `json:"p99Millis"`
}

// TestMeasureRetries measures the cost and the benefit of retries under faults.
// Lookups are idempotent and are retried; bookings, which are not, are the baseline
// under the same faults.
func TestMeasureRetries(t *testing.T) {
	dir := measureDir(t)
	for _, s := range []struct {
		name    string
		workers int
		faults  standin.UpstreamFaults
	}{
		{"healthy", 8, standin.UpstreamFaults{}},
		{"all answers fail", 8, standin.UpstreamFaults{ErrorShare: 1}},
		{"overload", 96, standin.UpstreamFaults{WorkMs: 40}},
		{"one in ten fails, one in twenty takes 1 s", 8, standin.UpstreamFaults{ErrorShare: 0.1, SlowShare: 0.05, SlowMs: 1000}},
		{"one in twenty resets", 8, standin.UpstreamFaults{ResetShare: 0.05}},
	} {
		for _, service := range []string{"fieldbook", "bookings"} {
			t.Run(s.name+" "+service, func(t *testing.T) {
				got := measureRetries(t, service, s.workers, s.faults)
				writeMeasurement(t, dir, "retries "+s.name+" "+service, got)
			})
		}
	}
}

func measureRetries(t *testing.T, service string, workers int, faults standin.UpstreamFaults) retryResult {
	t.Helper()
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
	c := newClient(t)
	path, method := "/species/", http.MethodGet
	if service == "bookings" {
		path, method = "/bookings/", http.MethodPost
	}
	const warm, requests = 300, 3000
	call := func(i int) (string, answer) {
		token := fmt.Sprintf("retries-%d", i)

		return token, send(c, f.vms[i%2].callersAddr, request{method: method, path: path + token, key: guidesKey, token: token})
	}
	sendConcurrently(4, warm, func(i int) (string, answer) { return call(requests + i) })
	for _, u := range f.targets[service] {
		u.setFaults(t, faults)
	}
	before := f.attempts(service)
	var mu sync.Mutex
	var took []time.Duration
	result := retryResult{
		Requests: requests,
		Statuses: map[string]int{},
	}
	for _, a := range sendConcurrently(workers, requests, func(i int) (string, answer) {
		start := time.Now()
		token, a := call(i)
		mu.Lock()
		took = append(took, time.Since(start))
		mu.Unlock()

		return token, a
	}) {
		result.Statuses[a.String()]++
	}
	result.Attempts = f.attempts(service) - before
	result.Amplification = float64(result.Attempts) / requests
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	result.P50Millis = float64(took[len(took)/2].Microseconds()) / 1000
	result.P99Millis = float64(took[len(took)*99/100].Microseconds()) / 1000

	return result
}

func (f *fleet) attempts(service string) int {
	f.t.Helper()
	n := 0
	for _, u := range f.targets[service] {
		var c standin.Counts
		if err := getJSON("http://"+u.address+"/_standin/counts", &c); err != nil {
			f.t.Fatal(err)
		}
		n += c.Runs + c.Refused
	}

	return n
}
