package filterer

import (
	"context"
	"strings"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/keyer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// The header fields that carry a caller's key.
const (
	KeyField           = "Lagoonkeel-Key"
	AuthorizationField = "Authorization"
	bearerScheme       = "bearer "
)

type manifestSource interface {
	Manifest() *manifester.Manifest
}

// Authenticate sets the manifest of the exchange and finds the team to which the
// request's key belongs. Requests that lack a key they need are refused by the
// Route filter. Authenticate is the counterpart of Identify for VMs that run on the
// log, where the Scrub filter removes the key.
type Authenticate struct {
	source manifestSource
}

// NewAuthenticate returns the filter. It reads the manifest in force from the
// source.
func NewAuthenticate(source manifestSource) *Authenticate {
	return &Authenticate{
		source: source,
	}
}

// Name returns the filter's name.
func (a *Authenticate) Name() string { return "authenticate" }

// Handle finds the caller's team.
func (a *Authenticate) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	x.SetManifest(a.source.Manifest())
	key, err := callerKey(x.Request())
	if err != nil {
		return err
	}
	if key != "" {
		digest := keyer.Digest(key)
		team, _ := x.Manifest().TeamOfKey(digest)
		x.SetTeam(team, digest)
	}

	return next.Serve(ctx, x)
}

// callerKey returns the key of the request, or "" if it has none. It returns a
// *Refusal if a key field occurs twice or if the two fields have different keys.
func callerKey(r *handler.Request) (string, error) {
	f := r.Fields()
	if f.Count(KeyField) > 1 || f.Count(AuthorizationField) > 1 {
		return "", handler.NewRefusal(handler.CodeBadRequest, "the request carries more than one key; send one")
	}
	own := strings.TrimSpace(f.Get(KeyField))
	bearer := bearerToken(f.Get(AuthorizationField))
	if own != "" && bearer != "" && own != bearer {
		return "", handler.NewRefusal(handler.CodeBadRequest, "the request carries two different keys; send one")
	}
	if own != "" {
		return own, nil
	}

	return bearer, nil
}

func bearerToken(value string) string {
	value = strings.TrimSpace(value)
	if len(value) < len(bearerScheme) || !strings.EqualFold(value[:len(bearerScheme)], bearerScheme) {
		return ""
	}

	return strings.TrimSpace(value[len(bearerScheme):])
}
