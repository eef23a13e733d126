package filterer

import (
	"context"
	"strings"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

// Scrub removes the caller's key from the request, so that no upstream sees it.
type Scrub struct{}

// NewScrub returns the filter.
func NewScrub() *Scrub {
	return &Scrub{}
}

// Name returns the filter's name.
func (s *Scrub) Name() string { return "scrub" }

// Handle removes the fields that carry keys, and refuses a request that repeats
// its key anywhere else.
func (s *Scrub) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	r := x.Request()
	key, err := callerKey(r)
	if err != nil {
		return err
	}
	r.Fields().Remove(KeyField)
	r.Fields().Remove(AuthorizationField)
	if key != "" && repeatsKey(r, key) {
		return handler.NewRefusal(handler.CodeKeyMisplaced, "the key stands outside its header field; send it only in "+KeyField+" or "+AuthorizationField)
	}

	return next.Serve(ctx, x)
}

func repeatsKey(r *handler.Request, key string) bool {
	if strings.Contains(r.Path(), key) || strings.Contains(r.Query(), key) || strings.Contains(string(r.Body()), key) {
		return true
	}
	for _, f := range r.Fields().All() {
		if strings.Contains(f.Value(), key) || strings.Contains(f.Name(), key) {
			return true
		}
	}

	return false
}
