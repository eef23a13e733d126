// Package filterer contains the filters of the request chain. Each filter makes
// one decision, based on immutable snapshots, and takes no lock that a
// controller holds while it does its work.
package filterer

import (
	"context"
	"fmt"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

// Limit refuses requests that exceed the size limits.
type Limit struct {
	// maxBody limits the body, in bytes, and maxFields the number of header
	// fields.
	maxBody   int
	maxFields int
}

// NewLimit returns a filter with limits on the body, in bytes, and on the number
// of header fields.
func NewLimit(maxBody, maxFields int) *Limit {
	return &Limit{
		maxBody:   maxBody,
		maxFields: maxFields,
	}
}

// Name returns the filter's name.
func (l *Limit) Name() string { return "limit" }

// Handle refuses a request that exceeds a limit.
func (l *Limit) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	if n := len(x.Request().Body()); n > l.maxBody {
		return handler.NewRefusal(handler.CodeTooLarge, fmt.Sprintf("the body has %d bytes; at most %d are taken", n, l.maxBody))
	}
	if n := len(x.Request().Fields().All()); n > l.maxFields {
		return handler.NewRefusal(handler.CodeBadRequest, fmt.Sprintf("the request has %d header fields; at most %d are taken", n, l.maxFields))
	}

	return next.Serve(ctx, x)
}
