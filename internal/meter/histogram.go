package meter

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// bounds are the inclusive upper bounds of the buckets, in ascending order.
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

// histogram is a histogram of durations.
type histogram struct {
	// buckets are not cumulative: bucket i counts the durations above bounds[i-1], up to
	// and including bounds[i]. One more bucket counts the durations above all bounds.
	buckets []metrics.Counter
}

func newHistogram() *histogram {
	h := &histogram{}
	for range len(bounds) + 1 {
		h.buckets = append(h.buckets, metrics.NewCounter())
	}

	return h
}

func (h *histogram) observe(took time.Duration) {
	for i, b := range bounds {
		if took <= b {
			h.buckets[i].Inc(1)

			return
		}
	}
	h.buckets[len(bounds)].Inc(1)
}

// each calls f with the name and the counter of each bucket.
func (h *histogram) each(f func(name string, c metrics.Counter)) {
	for i, b := range bounds {
		f("le."+b.String(), h.buckets[i])
	}
	f("over", h.buckets[len(bounds)])
}
