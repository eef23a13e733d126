package assembler

import (
	"net/http"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// registerMetrics registers the gauges and counters of the parts with the meter.
func (v *StoreVM) registerMetrics() {
	for name, read := range map[string]func() int64{
		"log.dropped":       v.lines.Dropped,
		"targets.listed":    func() int64 { return int64(v.registrar.Size()) },
		"targets.evacuated": func() int64 { return int64(v.registrar.EvacuatedCount()) },
		"targets.suspect":   func() int64 { return int64(v.estimator.SuspectCount(v.timers.Now())) },
		"config.version":    func() int64 { return int64(v.adopter.Manifest().Version()) },
		"store.era":         func() int64 { return int64(v.store.Era()) }, //nolint:gosec // The store has come back far fewer times.
		"vms.heard":         v.heard,
		"vms.known":         v.known,
		"requests.quarantined": func() int64 {
			quarantined, _ := v.quarantine.Counts()

			return int64(quarantined)
		},
		"requests.suspect": func() int64 {
			_, suspects := v.quarantine.Counts()

			return int64(suspects)
		},
	} {
		v.meter.RegisterGauge(name, read)
	}
	v.gossiper.Each(v.meter.RegisterCounter)
	v.placer.Each(v.meter.RegisterCounter)
	v.pacer.Each(v.meter.RegisterCounter)
	v.registerRetries()
	v.store.Each(v.meter.RegisterCounter)
	if v.hedger != nil {
		v.hedger.Each(v.meter.RegisterCounter)
	}
}

// operatorHandler returns the handler of the paths for operators and the load
// balancer.
func (v *StoreVM) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", readyHandler(v.inRotation))
	if p := v.settings.ReadyPath(); p != "" && p != "/ready" {
		mux.HandleFunc("GET "+p, readyHandler(v.inRotation))
	}
	mux.HandleFunc("GET /live", serveLive)
	mux.HandleFunc("GET /status", v.serveStatus)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_ = v.meter.WriteText(w) // The client may have disconnected.
	})

	return mux
}

// removeStale removes the latency metrics of routes that are not configured and of
// targets that the store does not list, the risks of targets without recent evidence, and
// the marks of targets that left long ago.
func (v *StoreVM) removeStale(now timer.Instant) {
	v.estimator.Forget(now)
	v.registrar.Forget(now)
	if v.spacing != nil {
		v.spacing.rejections.Forget(now)
	}
	v.forgetHedging()
	v.meter.Keep(func(route string) bool {
		_, ok := v.adopter.Manifest().Route(route)

		return ok
	}, func(target string) bool {
		_, ok := v.registrar.Service(target)

		return ok
	})
}

// heard returns the number of VMs, this one included, whose reports arrive.
func (v *StoreVM) heard() int64 {
	heard, _ := v.gossiper.VMCounts()

	return int64(heard)
}

// known returns the number of all VMs that this VM knows of, itself included.
func (v *StoreVM) known() int64 {
	_, known := v.gossiper.VMCounts()

	return int64(known)
}
