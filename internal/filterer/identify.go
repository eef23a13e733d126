package filterer

import (
	"context"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/keyer"
)

// Identify sets the manifest of the exchange, finds the team to which the
// request's key belongs, removes the key from the request and adds the header
// field that names the team to the target. Requests that lack a key they need
// are refused by the Route filter. Identify is the counterpart of Authenticate for
// VMs that run on the platform's store.
type Identify struct {
	source  manifestSource
	dialect *handler.Dialect
}

// NewIdentify returns the filter. It reads the manifest in force from the
// source.
func NewIdentify(source manifestSource, d *handler.Dialect) *Identify {
	return &Identify{
		source:  source,
		dialect: d,
	}
}

// Name returns the filter's name.
func (i *Identify) Name() string { return "identify" }

// Handle finds the caller's team.
func (i *Identify) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	x.SetManifest(i.source.Manifest())
	f := x.Request().Fields()
	if f.Count(i.dialect.Key()) > 1 {
		return handler.NewRefusal(handler.CodeBadRequest, "the request carries more than one key; send one")
	}
	key := f.Get(i.dialect.Key())
	f.Remove(i.dialect.Key())
	f.Remove(i.dialect.Team())
	if key != "" {
		digest := keyer.Digest(key)
		team, known := x.Manifest().TeamOfKey(digest)
		x.SetTeam(team, digest)
		if known {
			f.Set(i.dialect.Team(), team.Name())
		}
	}

	return next.Serve(ctx, x)
}
