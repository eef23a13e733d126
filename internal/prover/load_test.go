package prover

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

// highRateManifest returns bookingManifest with rates too high to limit the tests
// that use it.
func highRateManifest(f *fleet) string {
	return strings.ReplaceAll(bookingManifest(f), `"rate": 500, "burst": 100`, `"rate": 100000, "burst": 20000`)
}

// waitKeyedBookings waits until every VM serves a booking with an idempotency key,
// which requires that the claim ranges have holders.
func (f *fleet) waitKeyedBookings() {
	f.t.Helper()
	c := newClient(f.t)
	for _, v := range f.vms {
		waitFor(f.t, v.id+" serves bookings with an idempotency key", func() bool {
			warm := fmt.Sprintf("warm-%s-%d", v.id, time.Now().UnixNano())
			a := send(c, v.callersAddr, request{
				method: http.MethodPost, path: "/bookings/warm", key: guidesKey, token: warm,
				fields: []string{"Idempotency-Key", warm},
			})

			return a.status == http.StatusOK
		})
	}
}

// printedRuns counts the runs of each token in the output of the targets, which
// survives the end of their processes.
func (f *fleet) printedRuns(service string) map[string]int {
	counts := map[string]int{}
	for _, u := range f.targets[service] {
		for line := range strings.Lines(u.output()) {
			if token, ok := strings.CutPrefix(strings.TrimSpace(line), standin.RunPrefix); ok {
				counts[token]++
			}
		}
	}

	return counts
}

// sendConcurrently makes n calls from concurrent workers and returns the answers
// by token.
func sendConcurrently(workers, n int, call func(number int) (token string, a answer)) map[string]answer {
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers := map[string]answer{}
	numbers := make(chan int)
	for range workers {
		wg.Go(func() {
			for i := range numbers {
				token, a := call(i)
				mu.Lock()
				answers[token] = a
				mu.Unlock()
			}
		})
	}
	for i := range n {
		numbers <- i
	}
	close(numbers)
	wg.Wait()

	return answers
}

// maxRuns returns the largest count and the number of tokens, and fails the test
// for each token that ran more than once.
func maxRuns(t *testing.T, counts map[string]int) (largest, tokens int) {
	t.Helper()
	for token, n := range counts {
		if n > largest {
			largest = n
		}
		if n > 1 {
			t.Errorf("%s ran %d times", token, n)
		}
		tokens++
	}

	return largest, tokens
}
