package meter

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxSeries is the maximum number of histograms of a family, without otherSeries, the
	// histogram that all further values share.
	maxSeries   = 4096
	otherSeries = "other"
)

// family holds a histogram for each value of a label, such as each route. A request
// finds its histogram through an atomic pointer. It takes the lock only for a value that
// has no histogram of its own: a new value, or any beyond maxSeries.
type family struct {
	// name is the metric's name in the registry's notation; label is the name of the
	// label.
	name  string
	label string
	// series maps the values of the label to their histograms; a series is the histogram
	// of one value. The map is replaced as a whole
	// by each change; never nil.
	series atomic.Pointer[map[string]*histogram]
	// mu serializes changes of series.
	mu sync.Mutex
}

func newFamily(name, label string) *family {
	f := &family{
		name:  name,
		label: label,
	}
	f.series.Store(&map[string]*histogram{})

	return f
}

func (f *family) observe(value string, took time.Duration) {
	h, ok := (*f.series.Load())[value]
	if !ok {
		h = f.add(value)
	}
	h.observe(took)
}

// add returns the histogram of the value, and adds it if it is missing. If there are
// maxSeries histograms, it returns the shared one.
func (f *family) add(value string) *histogram {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := *f.series.Load()
	if len(current) >= maxSeries {
		value = otherSeries
	}
	if h, ok := current[value]; ok {
		return h
	}
	next := maps.Clone(current)
	next[value] = newHistogram()
	f.series.Store(&next)

	return next[value]
}

// keep removes the histograms of the values that are not known, except the shared one.
func (f *family) keep(known func(value string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := maps.Clone(*f.series.Load())
	maps.DeleteFunc(next, func(value string, _ *histogram) bool { return value != otherSeries && !known(value) })
	f.series.Store(&next)
}

// each calls g with the name in the text format and the count of each bucket that is
// not 0.
func (f *family) each(g func(name string, count int64)) {
	for value, h := range *f.series.Load() {
		h.each(func(bucket string, c metrics.Counter) {
			if n := c.Count(); n > 0 {
				g(textNameReplacer.Replace(f.name+"."+bucket)+"{"+f.label+"=\""+value+"\"}", n)
			}
		})
	}
}
