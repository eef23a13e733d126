// Package forwarder sends requests to targets over HTTP/1.1. It owns the
// connections, so that it knows whether any byte of a request was sent. A
// connection carries one request at a time. It is closed if it is uncertain
// where the next response on it begins.
package forwarder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/reserver"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// bufferBytes is the size of a connection's read and write buffers.
const bufferBytes = 16 << 10

type clock interface {
	Now() timer.Instant
}

type ticker interface {
	Now() timer.Instant
	Every(d time.Duration) *timer.Subscription
}

// connectionLimit returns the maximum number of connections that this VM may
// hold open to a target.
type connectionLimit func(target *manifester.Target) int

// Transport sends requests to targets. It is safe for concurrent use.
type Transport struct {
	clock   clock
	pool    *pool
	dialect *handler.Dialect
	// memory limits the bytes of the bodies that are held at any time.
	memory *reserver.Reserver
}

// NewTransport returns a transport without connections. It calls limit before
// it opens a connection. It reserves the bytes of each response in memory and adds
// them to those that the exchange holds.
func NewTransport(t ticker, d *handler.Dialect, memory *reserver.Reserver, limit func(target *manifester.Target) int) *Transport {
	return &Transport{
		clock:   t,
		dialect: d,
		memory:  memory,
		pool:    newPool(t, limit),
	}
}

// Name returns the controller's name.
func (t *Transport) Name() string { return "connections" }

// Run closes connections that have been idle for too long until ctx ends, then
// closes all idle ones. It always returns nil.
func (t *Transport) Run(ctx context.Context) error {
	return t.pool.run(ctx)
}

// RefusesConnections reports whether new connections to the target are refused, as they
// are once the target's process has ended. It returns false if that cannot be
// determined.
func (t *Transport) RefusesConnections(ctx context.Context, target *manifester.Target) bool {
	return t.pool.refusesConnections(ctx, target.Address())
}

// Do sends the request of the exchange to its target and returns the result. The
// deadline of the exchange bounds the time that it takes.
func (t *Transport) Do(ctx context.Context, x *handler.Exchange) *handler.Attempt {
	target := x.Target()
	left := x.Deadline().Sub(t.clock.Now())
	if left <= 0 {
		return handler.NewFailedAttempt(target, handler.FaultCanceled, handler.NewRefusal(handler.CodeTimeout, "the deadline passed before the request was sent"))
	}
	if ctx.Err() != nil {
		return handler.NewFailedAttempt(target, handler.FaultCanceled, handler.NewRefusal(handler.CodeTimeout, "the caller went away before the request was sent"))
	}
	c, fault := t.pool.acquire(ctx, target, left, policyFor(x), x.Request().Fields().Get(t.dialect.RequestID()))
	if fault == handler.FaultConnect && overtaken(ctx) {
		return handler.NewFailedAttempt(target, handler.FaultCanceled,
			handler.NewRefusal(handler.CodeTimeout, "another attempt got a response before the request was sent"))
	}
	if fault != handler.FaultNone {
		return unsent(target, fault)
	}
	a := t.exchange(ctx, c, x)
	if a.Fault() != handler.FaultNone && a.MayHaveRun() && !overtaken(ctx) {
		// The cause of the failure may have broken the idle connections too.
		t.pool.closeIdle(target.Address())
	}

	return a
}

// overtaken reports whether another attempt at the same request got a response first.
func overtaken(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), handler.ErrOvertaken)
}

// exchange sends the request on the connection, and returns the connection to the pool or
// closes it, also after a panic.
func (t *Transport) exchange(ctx context.Context, c *connection, x *handler.Exchange) *handler.Attempt {
	address := x.Target().Address()
	stop := context.AfterFunc(ctx, c.abort)
	defer func() {
		if !stop() || !c.usable() {
			t.pool.discard(address, c)
		} else {
			t.pool.putIdle(address, c)
		}
	}()

	return t.roundTrip(ctx, c, x)
}

// reusePolicy defines which connections a request may use.
type reusePolicy int

const (
	// reuseIdle allows every idle connection that is open and has received no
	// bytes.
	reuseIdle reusePolicy = iota
	// reuseRecent allows idle connections that received a response within
	// maxRecentIdleTime.
	reuseRecent
	// reuseNone allows new connections only.
	reuseNone
)

func policyFor(x *handler.Exchange) reusePolicy {
	switch {
	case isRetry(x):
		return reuseNone
	case !x.Idempotent():
		return reuseRecent
	default:
		return reuseIdle
	}
}

// isRetry reports whether an earlier attempt at the request has ended. A hedge beside the
// first attempt is no retry: it may reuse a connection as that one may.
func isRetry(x *handler.Exchange) bool {
	return len(x.Tried()) > 1 && (!x.Hedge() || len(x.History()) > 0)
}

// unsent returns the attempt of a request for which no connection was available.
func unsent(target *manifester.Target, fault handler.Fault) *handler.Attempt {
	if fault == handler.FaultConnectionLimit {
		return handler.NewFailedAttempt(target, fault, handler.NewRefusal(handler.CodeOverload, "every connection to the target is in use"))
	}

	return handler.NewFailedAttempt(target, fault, handler.NewRefusal(handler.CodeConnect, "no connection to the target could be opened"))
}

func (t *Transport) roundTrip(ctx context.Context, c *connection, x *handler.Exchange) *handler.Attempt {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	start := t.clock.Now()
	left := x.Deadline().Sub(start)
	buildRequest(req, t.dialect, x.Target(), x.Request(), left)
	c.begin(left)
	c.requestID = string(req.Header.Peek(t.dialect.RequestID()))
	w := startWriting(c, req)
	defer w.wait()
	wait := left
	if p := x.FirstByteTimeout(); p > 0 {
		wait = min(wait, p)
	}
	if err := w.awaitResponse(wait); err != nil {
		w.wait() // Whether the request may have run depends on all that was sent.

		return t.failed(ctx, c, x.Target(), start, err)
	}
	firstByte := t.clock.Now().Sub(start)
	c.begin(x.Deadline().Sub(t.clock.Now()))
	resp.SkipBody = req.Header.IsHead()
	body, err := t.readResponse(w, resp, x)
	if err != nil {
		w.wait()

		return t.failed(ctx, c, x.Target(), start, err)
	}
	if isForeign(t.dialect, req, resp) {
		return handler.NewFailedAttempt(x.Target(), handler.FaultMalformed,
			handler.NewUnknownOutcome(handler.CodeUpstream, "the answer is not that of the target to this request")).SetTiming(firstByte, c.reused)
	}
	if !resp.ConnectionClose() && c.reader.Buffered() == 0 && w.written() && recognizable(t.dialect, req, resp) {
		c.finish()
	}
	a := t.completed(x.Target(), resp, body).SetTiming(firstByte, c.reused)
	if a.Fault() == handler.FaultMisdirected {
		return a // The fields are those of another target.
	}

	return a.SetNotice(isLeaving(t.dialect, resp), retryAfter(t.dialect, resp, time.Now()))
}

// failed returns the attempt that ended with err. Whatever the error, the
// request may have run if the kernel accepted any byte of it.
func (t *Transport) failed(ctx context.Context, c *connection, target *manifester.Target, start timer.Instant, err error) *handler.Attempt {
	took := t.clock.Now().Sub(start)
	if c.sent() == 0 {
		refusal := handler.NewRefusal(handler.CodeConnect, "the connection ended before the request was sent")

		return handler.NewFailedAttempt(target, handler.FaultStale, refusal).SetTiming(0, c.reused)
	}
	fault := classify(ctx, err)
	refusal := handler.NewUnknownOutcome(handler.CodeUpstream, "the connection to the target failed before a whole answer")
	if fault == handler.FaultSlow || fault == handler.FaultCanceled {
		refusal = handler.NewUnknownOutcome(handler.CodeTimeout, "no whole answer of the target came in time")
	}

	return handler.NewFailedAttempt(target, fault, refusal).SetTiming(took, c.reused)
}
