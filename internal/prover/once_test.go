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

// manyManifest is bookingManifest without a bound of rates that matters here.
func manyManifest(f *fleet) string {
	return strings.ReplaceAll(bookingManifest(f), `"rate": 500, "burst": 100`, `"rate": 100000, "burst": 20000`)
}

// admitted waits until every VM answers bookings, which needs holders.
func (f *fleet) admitted() {
	f.t.Helper()
	c := newClient(f.t)
	for _, v := range f.vms {
		waitFor(f.t, v.id+" takes keyed bookings", func() bool {
			warm := fmt.Sprintf("warm-%s-%d", v.id, time.Now().UnixNano())
			a := send(c, v.callers, request{
				method: http.MethodPost, path: "/bookings/warm", key: guidesKey, token: warm,
				fields: []string{"Idempotency-Key", warm},
			})

			return a.status == http.StatusOK
		})
	}
}

// printedRuns counts the runs of each token by what the targets printed, which
// outlasts their processes.
func (f *fleet) printedRuns(service string) map[string]int {
	counts := map[string]int{}
	for _, u := range f.targets[service] {
		for line := range strings.Lines(u.printed()) {
			if token, ok := strings.CutPrefix(strings.TrimSpace(line), standin.RunPrefix); ok {
				counts[token]++
			}
		}
	}

	return counts
}

// calls sends n requests from some callers at once and collects the answers by
// token.
func calls(workers, n int, call func(number int) (token string, a answer)) map[string]answer {
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

// most returns the largest count, and how many tokens were counted.
func most(t *testing.T, counts map[string]int) (largest, tokens int) {
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
