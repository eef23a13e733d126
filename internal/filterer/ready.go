package filterer

import (
	"context"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

type readiness interface {
	Ready() bool
}

// Ready refuses requests while the VM is not ready: while it has no configuration
// that the log or a ready peer has confirmed, or, with the platform's store, no
// configuration or no list of targets. The load balancer in front of the VMs may
// send requests even then.
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
