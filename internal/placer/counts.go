package placer

import (
	"maps"

	"github.com/rcrowley/go-metrics"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// newOutcomeCounters returns a counter for each outcome of attempts.
func newOutcomeCounters(s Spec) map[estimator.Outcome]metrics.Counter {
	counters := map[estimator.Outcome]metrics.Counter{}
	for _, o := range estimator.Outcomes() {
		if o != estimator.OutcomeShed || s.Rejections != nil {
			counters[o] = metrics.NewCounter()
		}
	}

	return counters
}

func decrement[K comparable](counts map[K]int, k K) {
	if counts[k]--; counts[k] <= 0 {
		delete(counts, k)
	}
}

// deletePast removes the instants that have come.
func deletePast(now timer.Instant, until map[estimator.Key]timer.Instant) {
	maps.DeleteFunc(until, func(_ estimator.Key, t timer.Instant) bool { return !now.Before(t) })
}
