package filterer

import (
	"context"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

type readiness interface {
	Ready() bool
}

// Ready refuses requests while the VM is not ready, that is, while it lacks the
// configuration and other state that it needs to serve. A load balancer may send
// requests even then.
type Ready struct {
	readiness readiness
}

// NewReady returns the filter.
func NewReady(r readiness) *Ready {
	return &Ready{
		readiness: r,
	}
}

// Name returns the filter's name.
func (r *Ready) Name() string { return "ready" }

// Handle refuses the request if the VM is not ready.
func (r *Ready) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	if !r.readiness.Ready() {
		return handler.NewRefusal(handler.CodeNotReady, "this VM has no configuration yet; use another VM")
	}

	return next.Serve(ctx, x)
}
