package meter

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// bounds are the upper bounds of the latency buckets.
var bounds = []time.Duration{
	1 * time.Millisecond,
	2 * time.Millisecond,
	5 * time.Millisecond,
	10 * time.Millisecond,
	20 * time.Millisecond,
	50 * time.Millisecond,
	100 * time.Millisecond,
	200 * time.Millisecond,
	500 * time.Millisecond,
	1 * time.Second,
	2 * time.Second,
	5 * time.Second,
	10 * time.Second,
}

// latency is a histogram of times.
type latency struct {
	// buckets count times: bucket i takes those up to bounds[i] that no earlier one
	// takes, and one more the rest.
	buckets []metrics.Counter
}

func newLatency() *latency {
	l := &latency{}
	for range len(bounds) + 1 {
		l.buckets = append(l.buckets, metrics.NewCounter())
	}

	return l
}

func (l *latency) observe(took time.Duration) {
	for i, b := range bounds {
		if took <= b {
			l.buckets[i].Inc(1)

			return
		}
	}
	l.buckets[len(bounds)].Inc(1)
}

// each calls f with the name and the counter of each bucket.
func (l *latency) each(f func(name string, c metrics.Counter)) {
	for i, b := range bounds {
		f("le."+b.String(), l.buckets[i])
	}
	f("over", l.buckets[len(bounds)])
}
