package assembler

import (
	"github.com/lagoonkeel/lagoonkeel/internal/filterer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
	"github.com/lagoonkeel/lagoonkeel/internal/supervisor"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
	"github.com/lagoonkeel/lagoonkeel/platform/adapter"
)

// addControllers builds the subscribers, passes them to the gossiper, registers their
// gauges, and lists the controllers of the process.
func (v *StoreVM) addControllers(operators *operatorServer) {
	operatorViews := subscriber.NewFanOut(v.adopter, v.evacuator)
	configurations := subscriber.New("configurations", v.store.Topic(adapter.ConfigTopic), operatorViews, v.gossiper, v.timers, v.logger)
	targets := subscriber.New("targets", v.store.Topic(adapter.TargetsTopic), v.registrar, v.gossiper, v.timers, v.logger)
	vms := subscriber.New("vms", v.store.Topic(adapter.PeersTopic), v.gossiper, v.gossiper, v.timers, v.logger).LowPriority()
	v.gossiper.SetReaders(configurations, targets, vms)
	for _, s := range []*subscriber.Subscriber{configurations, targets, vms} {
		v.meter.RegisterGauge("store.silence.ms."+s.Topic(), func() int64 { return s.Silence().Milliseconds() })
		v.meter.RegisterGauge("store.offset."+s.Topic(), func() int64 {
			_, next := s.Position()

			return int64(next)
		})
	}
	v.controllers = []supervisor.Controller{
		v.lines,
		&periodic{
			name:   "drop-watch",
			period: dropCheckPeriod,
			timers: v.timers,
			task:   dropReporter(v.lines, v.logger),
		},
		v.timers,
		configurations,
		targets,
		vms,
		&announcer{
			topic:      v.store.Topic(adapter.PeersTopic),
			address:    v.settings.Peers(),
			id:         v.settings.ID(),
			dataCentre: v.settings.DataCentre(),
			list:       vms,
			fleet:      v.gossiper,
			timers:     v.timers,
			logger:     v.logger,
		},
		v.gossiper,
		v.placer,
		v.pacer,
		&periodic{
			name:   "forgetter",
			period: removalPeriod,
			timers: v.timers,
			task:   v.removeStale,
		},
		v.transport,
		operators,
		v.stopper,
	}
	if v.assigner != nil {
		v.controllers = append(v.controllers, v.assigner)
		v.meter.RegisterGauge("targets.assigned", func() int64 { return int64(v.assigner.Size()) })
	}
	if v.rooms != nil {
		v.controllers = append(v.controllers, v.rooms)
	}
}

// chain returns the filter chain; the order of the filters is the order of their
// decisions.
func (v *StoreVM) chain() *handler.Chain {
	filters := []handler.Filter{
		filterer.NewTraceRequest(v.tracer),
		filterer.NewJournal(v.logger, v.dialect.RequestID(), v.timers),
		filterer.NewCount(v.meter, v.timers),
		filterer.NewLimit(v.settings.MaxBody(), maxFields),
		filterer.NewReady(v),
		filterer.NewClosing(v),
		filterer.NewIdentify(v.adopter, v.dialect),
		filterer.NewRoute(v.splitter),
		filterer.NewWatch(v.watcher, v.timers),
		filterer.NewDeadline(v.dialect.Timeout()),
		filterer.NewQuarantine(v.quarantine),
		filterer.NewAdmit(&sharedRates{tallier: v.tallier, timers: v.timers}, v.tracer),
	}
	if v.queue != nil {
		filters = append(filters, filterer.NewQueue(v.queue, filterer.NewByPriority(v.timers), v.timers))
	}

	filters = append(filters, v.repeat())
	filters = append(filters, v.hedgeFilters()...)

	return handler.NewChain(append(
		filters,
		filterer.NewCrashWatch(v.quarantine, v.transport),
		filterer.NewPlace(v.placer, v.meter, v.timers),
		filterer.NewTraceAttempt(v.tracer),
		filterer.NewForward(v.transport),
	)...)
}

// minConnections is the number of connections to a target that a VM may always hold,
// even if its share is smaller. It leaves room for two attempts and for the idle
// connections that are kept beside them.
const minConnections = 4

// connections returns this VM's share of the connections that the whole fleet may
// hold open to the target, but at least minConnections.
func (v *StoreVM) connections(t *manifester.Target) int {
	name, listed := v.registrar.Service(t.Name())
	s, declared := v.adopter.Manifest().Service(name)
	if !listed || !declared {
		return minConnections
	}
	_, known := v.gossiper.VMCounts()

	return max(minConnections, s.Connections()/known)
}
