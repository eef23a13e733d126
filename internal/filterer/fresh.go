package filterer

import (
	"context"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

type freshnessSource interface {
	Manifest() *manifester.Manifest
	// FreshUntil returns the instant from which the manifest is too old for
	// decisions about requests with a key.
	FreshUntil() timer.Instant
}

// Fresh refuses requests to routes that need a key while the VM's manifest may
// lack withdrawals of keys. It reads the clock for each request, so that a
// process that was suspended refuses them as soon as it resumes.
type Fresh struct {
	source freshnessSource
	clock  clock
}

// NewFresh returns the filter.
func NewFresh(s freshnessSource, c clock) *Fresh {
	return &Fresh{
		source: s,
		clock:  c,
	}
}

// Name returns the filter's name.
func (f *Fresh) Name() string { return "fresh" }

// Handle refuses a request to a route that needs a key if the manifest is too
// old, or if the key is not valid in a manifest that came into force after the
// key was looked up. The order of the reads matters: FreshUntil, then the clock,
// then the manifest. If the clock is still before FreshUntil, the manifest is the
// one in force at that time or a newer one.
func (f *Fresh) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	if x.Route().Open() {
		return next.Serve(ctx, x)
	}
	until := f.source.FreshUntil()
	now := f.clock.Now()
	manifest := f.source.Manifest()
	if !now.Before(until) {
		return handler.NewRefusal(handler.CodeKeysStale, "this VM cannot know of withdrawn keys now; try again or use another VM")
	}
	if manifest != x.Manifest() && !stillValid(x, manifest) {
		return handler.NewRefusal(handler.CodeKeyUnknown, "the key is not valid or was withdrawn")
	}

	return next.Serve(ctx, x)
}

func stillValid(x *handler.Exchange, m *manifester.Manifest) bool {
	team, ok := m.TeamOfKey(x.KeyDigest())

	return ok && team.Name() == x.Team().Name()
}
