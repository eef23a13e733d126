// Package handler defines a protocol-neutral request/response exchange and the
// chain of filters that handles it. It does not depend on a wire format, so any
// front end can use the same chain.
package handler

import "context"

// Handler handles one exchange. If Serve returns nil, the exchange holds the
// response. Otherwise the front end sends a refusal; an error that is not a
// *Refusal is sent as CodeInternal with an unknown outcome.
type Handler interface {
	Serve(ctx context.Context, x *Exchange) error
}

// Filter makes one decision about an exchange, and either passes the exchange
// to next or returns a *Refusal. A filter may call next more than once.
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
// of them without a response is refused.
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

// Serve refuses an exchange for which no filter produced a response.
func (terminal) Serve(context.Context, *Exchange) error {
	return NewRefusal(CodeInternal, "no filter answered the request")
}
