// Package meter counts what a VM does. The path of a request touches atomic
// counters only.
package meter

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

// Meter holds the counters of one VM.
type Meter struct {
	registry metrics.Registry
	// answered counts answers that an upstream made.
	answered metrics.Counter
	// refused maps each code to its counter; it is never written after New.
	refused map[handler.Code]metrics.Counter
	// buckets count requests by latency; bucket i takes up to bounds[i].
	buckets []metrics.Counter
}

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

// New returns a meter with a registry of its own.
func New() *Meter {
	m := &Meter{
		registry: metrics.NewRegistry(),
		refused:  map[handler.Code]metrics.Counter{},
	}
	m.answered = metrics.NewRegisteredCounter("requests.answered", m.registry)
	for _, c := range handler.Codes() {
		m.refused[c] = metrics.NewRegisteredCounter("requests.refused."+string(c), m.registry)
	}
	for _, b := range bounds {
		m.buckets = append(m.buckets, metrics.NewRegisteredCounter(fmt.Sprintf("requests.latency.le.%v", b), m.registry))
	}
	m.buckets = append(m.buckets, metrics.NewRegisteredCounter("requests.latency.over", m.registry))

	return m
}

// Registry returns the registry, for parts that add counters of their own.
func (m *Meter) Registry() metrics.Registry { return m.registry }

// Answered counts an answer of an upstream and its latency.
func (m *Meter) Answered(took time.Duration) {
	m.answered.Inc(1)
	m.observe(took)
}

// Refused counts a refusal of the kind and its latency.
func (m *Meter) Refused(code handler.Code, took time.Duration) {
	if c, ok := m.refused[code]; ok {
		c.Inc(1)
	}
	m.observe(took)
}

func (m *Meter) observe(took time.Duration) {
	for i, b := range bounds {
		if took <= b {
			m.buckets[i].Inc(1)

			return
		}
	}
	m.buckets[len(bounds)].Inc(1)
}

// WriteText writes every counter and gauge as a line of name and value, in the
// order of the names.
func (m *Meter) WriteText(w io.Writer) error {
	values := map[string]int64{}
	m.registry.Each(func(name string, v any) {
		switch c := v.(type) {
		case metrics.Counter:
			values[name] = c.Count()
		case metrics.Gauge:
			values[name] = c.Value()
		}
	})
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if _, err := fmt.Fprintf(w, "lagoonkeel_%s %d\n", textName.Replace(name), values[name]); err != nil {
			return errors.Wrap(err, "writing the counters")
		}
	}

	return nil
}

// textName turns a name of the registry into one of the text format.
var textName = strings.NewReplacer(".", "_", "-", "_", "µ", "u")

// WriteJSON writes every counter as JSON.
func (m *Meter) WriteJSON(w io.Writer) {
	metrics.WriteJSONOnce(m.registry, w)
}
