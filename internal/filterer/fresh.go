package filterer

import (
	"context"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

type freshSource interface {
	Manifest() *manifester.Manifest
	// FreshUntil returns the instant from which on the manifest is too old to
	// decide keyed requests by.
	FreshUntil() timer.Instant
}

// Fresh refuses keyed requests while the VM cannot know of withdrawn keys. It
// judges by the clock at the time of the request, so that a process that was
// frozen refuses from its first instruction on.
type Fresh struct {
	source freshSource
	clock  clock
}

// NewFresh returns the filter.
func NewFresh(s freshSource, c clock) *Fresh {
	return &Fresh{
		source: s,
		clock:  c,
	}
}

// Name returns the filter's name.
func (f *Fresh) Name() string { return "fresh" }

// Handle refuses a keyed request if the manifest is too old, or if the key is
// no longer valid in a manifest that came into force since it was looked up.
// The order of the reads matters: whichever manifest is read after the clock
// was in force while the instant before it still held.
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
