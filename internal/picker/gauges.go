package picker

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// unloadedDrift is the growth per rebuild of a service's time without load, so
// that a service that became slower for good is not taken for a loaded one.
const unloadedDrift = 1.0005

// serviceGauge is this VM's picture of one service. It is safe for concurrent
// use and takes no lock.
type serviceGauge struct {
	limit limit
	// least is the lowest recent median first-byte time in nanoseconds, or 0.
	least atomic.Int64
}

// unloaded returns the service's first-byte time without load, or 0.
func (g *serviceGauge) unloaded() time.Duration {
	return time.Duration(g.least.Load())
}

// follow takes in the present median. It belongs to the goroutine of Rebuild.
func (g *serviceGauge) follow(typical time.Duration) {
	if typical == 0 {
		return
	}
	least := int64(float64(g.least.Load()) * unloadedDrift)
	if least == 0 || int64(typical) < least {
		least = int64(typical)
	}
	g.least.Store(least)
}

// gauges holds the gauges of all targets and services.
type gauges struct {
	recorder *ejector.Recorder
	// targets maps an ejector.Key to its *gauge.
	targets sync.Map
	// services maps a service's name to its *serviceGauge.
	services sync.Map
}

// gauge returns the gauge of the key, which is made at the first call.
func (g *gauges) gauge(k ejector.Key) *gauge {
	v, ok := g.targets.Load(k)
	if !ok {
		v, _ = g.targets.LoadOrStore(k, &gauge{
			samples: g.recorder.Samples(k),
		})
	}
	found, _ := v.(*gauge) // The map holds nothing else.

	return found
}

// current returns the gauge of the key for a new table. A gauge whose samples
// the recorder has dropped is replaced.
func (g *gauges) current(k ejector.Key) *gauge {
	found := g.gauge(k)
	if found.samples != g.recorder.Samples(k) {
		g.targets.Delete(k)
		found = g.gauge(k)
	}

	return found
}

func (g *gauges) service(name string) *serviceGauge {
	v, ok := g.services.Load(name)
	if !ok {
		v, _ = g.services.LoadOrStore(name, &serviceGauge{})
	}
	found, _ := v.(*serviceGauge) // The map holds nothing else.

	return found
}

// keep drops the gauges of targets that are declared no more and have no open
// attempt.
func (g *gauges) keep(m *manifester.Manifest) {
	declared := map[ejector.Key]bool{}
	for _, s := range m.Services() {
		for _, t := range s.Targets() {
			declared[ejector.KeyOf(s, t)] = true
		}
	}
	g.targets.Range(func(k, v any) bool {
		key, isKey := k.(ejector.Key)
		found, isGauge := v.(*gauge)
		if !isKey || !isGauge || (!declared[key] && found.samples.InFlight() <= 0) {
			g.targets.Delete(k)
		}

		return true
	})
}
