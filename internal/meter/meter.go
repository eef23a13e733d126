// Package meter keeps the metrics of a VM: counters, gauges and latency histograms. A
// request updates atomic counters and takes no lock, unless its route or target has no
// latency histogram of its own.
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

// Meter holds the metrics of one VM. It is safe for concurrent use.
type Meter struct {
	registry metrics.Registry
	// answered counts the requests that an upstream answered.
	answered metrics.Counter
	// refused maps each code to its counter; it is not changed after New.
	refused map[handler.Code]metrics.Counter
	// requests is the latency of all requests, routes the latency by route, and
	// targets the duration of attempts by target.
	requests *histogram
	routes   *family
	targets  *family
}

// New returns a meter with a registry of its own.
func New() *Meter {
	m := &Meter{
		registry: metrics.NewRegistry(),
		refused:  map[handler.Code]metrics.Counter{},
		requests: newHistogram(),
		routes:   newFamily("route.latency", "route"),
		targets:  newFamily("target.latency", "target"),
	}
	m.answered = metrics.NewRegisteredCounter("requests.answered", m.registry)
	for _, c := range handler.Codes() {
		m.refused[c] = metrics.NewRegisteredCounter("requests.refused."+string(c), m.registry)
	}
	m.requests.each(func(name string, c metrics.Counter) { m.RegisterCounter("requests.latency."+name, c) })

	return m
}

// RegisterCounter registers a counter that its owner updates. The name must not be in use:
// a second counter of the same name is ignored.
func (m *Meter) RegisterCounter(name string, c metrics.Counter) {
	_ = m.registry.Register(name, c) // It only fails for a name that is in use.
}

// RegisterGauge registers a value that is read whenever the metrics are written.
func (m *Meter) RegisterGauge(name string, read func() int64) {
	metrics.NewRegisteredFunctionalGauge(name, m.registry, read)
}

// Answered counts a request that an upstream answered, and records its latency.
func (m *Meter) Answered(took time.Duration) {
	m.answered.Inc(1)
	m.requests.observe(took)
}

// Refused counts a request that was refused with the code, and records its latency.
func (m *Meter) Refused(code handler.Code, took time.Duration) {
	if c, ok := m.refused[code]; ok {
		c.Inc(1)
	}
	m.requests.observe(took)
}

// Routed records the latency of a request on the route.
func (m *Meter) Routed(route string, took time.Duration) { m.routes.observe(route, took) }

// Attempted records the duration of an attempt at the target.
func (m *Meter) Attempted(target string, took time.Duration) { m.targets.observe(target, took) }

// Keep drops the latencies of the routes and targets for which the function returns
// false.
func (m *Meter) Keep(route, target func(name string) bool) {
	m.routes.keep(route)
	m.targets.keep(target)
}

// WriteText writes every metric as a line of name and value, ordered by name. It leaves
// out the buckets of routes and targets that are 0.
func (m *Meter) WriteText(w io.Writer) error {
	values := map[string]int64{}
	m.registry.Each(func(name string, v any) {
		switch c := v.(type) {
		case metrics.Counter:
			values[textNameReplacer.Replace(name)] = c.Count()
		case metrics.Gauge:
			values[textNameReplacer.Replace(name)] = c.Value()
		}
	})
	for _, f := range []*family{m.routes, m.targets} {
		f.each(func(name string, n int64) { values[name] = n })
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if _, err := fmt.Fprintf(w, "lagoonkeel_%s %d\n", name, values[name]); err != nil {
			return errors.Wrap(err, "writing the metrics")
		}
	}

	return nil
}

// textNameReplacer converts a name in the registry to one of the text format.
var textNameReplacer = strings.NewReplacer(".", "_", "-", "_", "µ", "u")

// WriteJSON writes the counters and gauges as JSON, without the latencies by route and
// by target.
func (m *Meter) WriteJSON(w io.Writer) {
	metrics.WriteJSONOnce(m.registry, w)
}
