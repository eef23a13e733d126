package placer

import (
	"maps"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

func decrement[K comparable](counts map[K]int, k K) {
	if counts[k]--; counts[k] <= 0 {
		delete(counts, k)
	}
}

// deletePast removes the instants that have come.
func deletePast(now timer.Instant, until map[estimator.Key]timer.Instant) {
	maps.DeleteFunc(until, func(_ estimator.Key, t timer.Instant) bool { return !now.Before(t) })
}
