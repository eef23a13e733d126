package assembler

import (
	"cmp"

	"github.com/lagoonkeel/lagoonkeel/internal/configurer"
	"github.com/lagoonkeel/lagoonkeel/internal/filterer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/hasher"
	"github.com/lagoonkeel/lagoonkeel/internal/hedger"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// withHedging sets the limit of hedges, if the settings allow any, and returns the limits.
func (l *limits) withHedging(s *configurer.Settings) *limits {
	if s.HedgeShare() > 0 {
		window := cmp.Or(s.Retries().Window(), retrier.DefaultWindow)
		limit := tallier.NewShare(s.HedgeShare(), window, hasher.Sum("hedges", s.ID()))
		l.hedges = &limit
	}

	return l
}

// addHedging adds the limits of the accounts that hedging uses. A route whose accounts of
// latencies would contain the account of something else has none, and is never hedged.
func (l *limits) addHedging(t *limitTable) {
	if l.hedges == nil {
		return
	}
	t.latencies = map[tallier.Account]tallier.Limit{}
	for _, s := range t.manifest.Services() {
		t.limits[tallier.HedgeAccount(s.Name())] = *l.hedges
	}
	for _, r := range t.manifest.Routes() {
		if r.Idempotent() {
			// Latencies are only counted.
			t.latencies[tallier.LatencyAccount(r.Name(), 0)] = tallier.NewRatio(1, 0, hedger.LatencyWindow)
		}
	}
	for a := range t.limits {
		delete(t.latencies, a.Block())
	}
}

// newHedger returns the hedger, or nil where no request is hedged.
func newHedger(v *StoreVM) *hedger.Hedger {
	if v.settings.HedgeShare() == 0 {
		return nil
	}

	return hedger.New(v.tallier, v.unfitForHedges)
}

// unfitForHedges reports whether too many of the service's requests are not served, or its
// targets reject so many attempts that a part of the retry budget is reserved.
func (v *StoreVM) unfitForHedges(now timer.Instant, service string) bool {
	return v.watcher.Degraded(now, service) || v.spacing != nil && v.spacing.retries.UnderPressure(now, service)
}

// hedgeFilters returns the filter that hedges requests, or none.
func (v *StoreVM) hedgeFilters() []handler.Filter {
	if v.hedger == nil {
		return nil
	}

	return []handler.Filter{filterer.NewHedge(v.hedger, v.quarantine, v.bodies, v.timers, v.logger)}
}

// forgetHedging forgets the latencies of routes that are not configured.
func (v *StoreVM) forgetHedging() {
	if v.hedger == nil {
		return
	}
	v.hedger.Keep(func(route string) bool {
		_, ok := v.adopter.Manifest().Route(route)

		return ok
	})
}
