package assembler

import (
	"context"
	"sync/atomic"

	"github.com/lagoonkeel/lagoonkeel/internal/admitter"
	"github.com/lagoonkeel/lagoonkeel/internal/adopter"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/internal/watcher"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// limitTable holds the limits of one version of the configuration.
type limitTable struct {
	manifest *manifester.Manifest
	limits   map[tallier.Account]tallier.Limit
	// latencies holds the limit of the accounts of latencies by the block of a route; empty
	// without hedging.
	latencies map[tallier.Account]tallier.Limit
}

// limits looks up the limits that the configuration in force sets for accounts. It is
// safe for concurrent use.
type limits struct {
	source *adopter.Adopter
	// retries limits the retries of each service.
	retries retrier.Allowance
	// spacing is set where the attempts at services and those rejected are counted.
	spacing bool
	// hedges limits the hedges of each service; nil without hedging.
	hedges *tallier.Limit
	// table is rebuilt when the manifest has changed; never nil.
	table atomic.Pointer[limitTable]
}

func newLimits(a *adopter.Adopter, r retrier.Allowance, spacing bool) *limits {
	l := &limits{
		source:  a,
		retries: r,
		spacing: spacing,
	}
	l.table.Store(&limitTable{})

	return l
}

// Limit returns the limit of the account, or false where it has none.
func (l *limits) Limit(a tallier.Account) (tallier.Limit, bool) {
	m := l.source.Manifest()
	t := l.table.Load()
	if t.manifest != m {
		t = l.build(m)
		l.table.Store(t)
	}
	limit, ok := t.limits[a]
	if !ok {
		limit, ok = t.latencies[a.Block()]
	}

	return limit, ok
}

func (l *limits) build(m *manifester.Manifest) *limitTable {
	t := &limitTable{
		manifest: m,
		limits:   map[tallier.Account]tallier.Limit{},
	}
	for _, team := range m.Teams() {
		if team.Limited() {
			t.limits[tallier.TeamAccount(team.Name())] = tallier.NewRate(team.Rate(), team.Burst())
		}
	}
	for _, s := range m.Services() {
		// Failures are only counted; no part of the process asks whether one is allowed.
		t.limits[tallier.FailureAccount(s.Name())] = tallier.NewRatio(1, 0, l.retries.Window())
		t.limits[tallier.RetryAccount(s.Name())] = tallier.NewRatio(l.retries.PerRequest(), l.retries.Extra(), l.retries.Window())
		if l.spacing {
			t.limits[tallier.ShedAccount(s.Name())] = tallier.NewRatio(1, 0, watcher.PressureWindow)
		}
	}
	l.addHedging(t)

	return t
}

// sharedRates admits requests within the teams' fleet-wide rate limits.
type sharedRates struct {
	tallier *tallier.Tallier
	timers  *timer.Service
}

// Admit counts one request of the team and reports whether its rate limit allows it.
func (r *sharedRates) Admit(_ context.Context, _ timer.Instant, team *manifester.Team) admitter.Verdict {
	v := r.tallier.Acquire(r.timers.Now(), tallier.TeamAccount(team.Name()))
	if v.Granted() {
		return admitter.Admitted()
	}

	return admitter.Refused(v.RetryAfter()).WithBasis(v.Basis().String())
}
