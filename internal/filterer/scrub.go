package filterer

import (
	"context"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

// proxyAuthorizationField carries credentials for proxies.
const proxyAuthorizationField = "Proxy-Authorization"

// Scrub removes callers' keys from requests, so that no upstream sees one. The
// fields of keys are removed whatever they hold, valid or not. A request that
// has a key anywhere else is refused: it was sent by mistake, and what is left
// after a removal would not be the caller's request.
type Scrub struct{}

// NewScrub returns the filter.
func NewScrub() *Scrub {
	return &Scrub{}
}

// Name returns the filter's name.
func (s *Scrub) Name() string { return "scrub" }

// Handle removes the fields that carry keys, and refuses a request with a key
// anywhere else.
func (s *Scrub) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	r := x.Request()
	finder := newKeyFinder(x.Manifest(), r.Fields())
	r.Fields().RemoveWhere(func(f handler.Field) bool {
		return carriesKey(f.Name())
	})
	if finder.inRequest(r) {
		return handler.NewRefusal(handler.CodeKeyMisplaced, "a key stands outside its header field; send it only in "+KeyField+" or "+AuthorizationField)
	}

	return next.Serve(ctx, x)
}
