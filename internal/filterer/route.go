package filterer

import (
	"context"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// Route finds the route and service of a request. It refuses a request without
// a valid key unless the route is open.
type Route struct {
	splitter splitter
}

type splitter interface {
	// Choose returns the name of the service that the next request of the route
	// goes to.
	Choose(r *manifester.Route) string
}

// NewRoute returns the filter.
func NewRoute(s splitter) *Route {
	return &Route{
		splitter: s,
	}
}

// Name returns the filter's name.
func (r *Route) Name() string { return "route" }

// Handle sets the route and service of the exchange.
func (r *Route) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	route, match := x.Manifest().FindRoute(x.Request().Host(), x.Request().Method(), x.Request().Path())
	switch match {
	case manifester.MatchNone:
		return handler.NewRefusal(handler.CodeNoRoute, "no route matches the path")
	case manifester.MatchOtherMethod:
		return handler.NewRefusal(handler.CodeMethodNotAllowed, "the path takes other methods")
	case manifester.MatchFound:
	}
	if !route.Open() && x.Team() == nil {
		return keyRefusal(x)
	}
	service, ok := x.Manifest().Service(r.splitter.Choose(route))
	if !ok {
		return handler.NewRefusal(handler.CodeInternal, "the route has no service")
	}
	x.SetRoute(route, service)

	return next.Serve(ctx, x)
}

func keyRefusal(x *handler.Exchange) error {
	if x.KeyDigest() == "" {
		return handler.NewRefusal(handler.CodeKeyMissing, "the route needs a key; send it in "+KeyField)
	}

	return handler.NewRefusal(handler.CodeKeyUnknown, "the key is not valid or was withdrawn")
}
