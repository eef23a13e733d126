package filterer

import (
	"context"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

type serviceWatcher interface {
	// AddRequest counts a request to the service.
	AddRequest(now timer.Instant, service string)
	// AddUnserved counts a request to the service that was refused or failed.
	AddUnserved(now timer.Instant, service string)
}

// Watch counts the requests to each service, and those that were refused or
// failed and were not canceled by their callers.
type Watch struct {
	watcher serviceWatcher
	clock   clock
}

// NewWatch returns the filter.
func NewWatch(w serviceWatcher, c clock) *Watch {
	return &Watch{
		watcher: w,
		clock:   c,
	}
}

// Name returns the filter's name.
func (w *Watch) Name() string { return "watch" }

// Handle counts the request before it is passed on, and counts its failure.
func (w *Watch) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	service := x.Service().Name()
	w.watcher.AddRequest(w.clock.Now(), service)
	err := next.Serve(ctx, x)
	if ctx.Err() == nil && (err != nil || failedStatus(x.Response().Status())) {
		w.watcher.AddUnserved(w.clock.Now(), service)
	}

	return err
}
