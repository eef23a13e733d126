package meter

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxSeries is the number of histograms of a family from which on all further names
	// share the histogram otherSeries.
	maxSeries   = 4096
	otherSeries = "other"
)

// family holds a histogram for each value of a label, such as each route. A request
// finds its histogram through an atomic pointer; only a value without a histogram of its
// own takes the lock: a new one, or each one beyond maxSeries.
type family struct {
	// name is the metric's name in the registry's notation; label is the name of the
	// label.
	name  string
	label string
	// series maps the values of the label to their histograms. It is replaced as a whole
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

func (f *family) observe(name string, took time.Duration) {
	h, ok := (*f.series.Load())[name]
	if !ok {
		h = f.add(name)
	}
	h.observe(took)
}

// add returns the histogram of the name, and adds it if it is missing. If there are
// maxSeries histograms, it returns the shared one.
func (f *family) add(name string) *histogram {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := *f.series.Load()
	if len(current) >= maxSeries {
		name = otherSeries
	}
	if h, ok := current[name]; ok {
		return h
	}
	next := maps.Clone(current)
	next[name] = newHistogram()
	f.series.Store(&next)

	return next[name]
}

// keep removes the histograms of the names that are not known, except the shared one.
func (f *family) keep(known func(name string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := maps.Clone(*f.series.Load())
	maps.DeleteFunc(next, func(name string, _ *histogram) bool { return name != otherSeries && !known(name) })
	f.series.Store(&next)
}

// each calls g with the name in the text format and the count of each bucket that is
// not 0.
func (f *family) each(g func(name string, count int64)) {
	for name, h := range *f.series.Load() {
		h.each(func(bucket string, c metrics.Counter) {
			if n := c.Count(); n > 0 {
				g(textNameReplacer.Replace(f.name+"."+bucket)+"{"+f.label+"=\""+name+"\"}", n)
			}
		})
	}
}
