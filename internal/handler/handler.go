// Package handler defines the protocol-neutral exchange of a request and its
// answer, and the chain of filters that handles it. It knows no wire format, so
// that any front end can drive the same chain.
package handler

import "context"

// Handler handles one exchange. A nil error means that the exchange holds the
// answer. Any other error is rendered as a Refusal by the front end.
type Handler interface {
	Serve(ctx context.Context, x *Exchange) error
}

// Filter makes one decision about an exchange and passes it on to next, or
// returns a *Refusal. A filter may call next more than once.
type Filter interface {
	Name() string
	Handle(ctx context.Context, x *Exchange, next Handler) error
}

// Chain is a fixed sequence of filters. It is immutable and safe for
// concurrent use.
type Chain struct {
	// head is the first link; never nil.
	head Handler
	// names lists the filters in order.
	names []string
}

// NewChain links the filters in the given order. An exchange that passes all
// of them without an answer is refused.
func NewChain(filters ...Filter) *Chain {
	var head Handler = terminal{}
	names := make([]string, len(filters))
	for i := len(filters) - 1; i >= 0; i-- {
		names[i] = filters[i].Name()
		head = &link{
			filter: filters[i],
			next:   head,
		}
	}

	return &Chain{
		head:  head,
		names: names,
	}
}

// Names returns the names of the filters in order.
func (c *Chain) Names() []string {
	return append([]string(nil), c.names...)
}

// Serve passes the exchange through the chain.
func (c *Chain) Serve(ctx context.Context, x *Exchange) error {
	return c.head.Serve(ctx, x)
}

type link struct {
	filter Filter
	next   Handler
}

// Serve runs one filter.
func (l *link) Serve(ctx context.Context, x *Exchange) error {
	return l.filter.Handle(ctx, x, l.next)
}

type terminal struct{}

// Serve refuses an exchange that no filter answered.
func (terminal) Serve(context.Context, *Exchange) error {
	return NewRefusal(CodeInternal, "no filter answered the request")
}
