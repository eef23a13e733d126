package filterer

import (
	"context"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

// proxyAuthorizationField is the header field with credentials for proxies.
const proxyAuthorizationField = "Proxy-Authorization"

// Scrub removes callers' keys from requests, so that no upstream receives one.
// It removes the credential fields whether or not their keys are valid. It
// refuses a request with a key anywhere else: the key was sent there by mistake,
// and the request would no longer be the caller's if the key were removed.
type Scrub struct{}

// NewScrub returns the filter.
func NewScrub() *Scrub {
	return &Scrub{}
}

// Name returns the filter's name.
func (s *Scrub) Name() string { return "scrub" }

// Handle removes the credential fields and refuses a request that contains a key
// anywhere else.
func (s *Scrub) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	r := x.Request()
	finder := newKeyFinder(x.Manifest(), r.Fields())
	r.Fields().RemoveWhere(func(f handler.Field) bool {
		return carriesKey(f.Name())
	})
	if finder.containsKey(r) {
		return handler.NewRefusal(handler.CodeKeyMisplaced, "a key stands outside its header field; send it only in "+KeyField+" or "+AuthorizationField)
	}

	return next.Serve(ctx, x)
}
