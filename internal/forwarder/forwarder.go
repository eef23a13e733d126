// Package forwarder sends requests to targets over HTTP/1.1. It owns the
// connections, so that it can tell whether a byte of a request was sent. A
// connection carries one request at a time, and is closed for good after any
// doubt about where the next answer on it begins.
package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 16 << 20
	// maxInterim bounds the 1xx answers before the final one.
	maxInterim = 8
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 16 << 10
)

type clock interface {
	Now() timer.Instant
}

type ticker interface {
	Now() timer.Instant
	Every(d time.Duration) *timer.Subscription
}

// bounder returns the most connections that this VM may hold open to a target.
type bounder func(target *manifester.Target) int

// Transport sends requests. It is safe for concurrent use.
type Transport struct {
	clock clock
	pool  *pool
	names *handler.Names
}

// NewTransport returns a transport without connections. The bound of
// connections to a target is asked for each new connection.
func NewTransport(t ticker, n *handler.Names, bound func(target *manifester.Target) int) *Transport {
	return &Transport{
		clock: t,
		names: n,
		pool:  newPool(t, bound),
	}
}

// Name returns the controller's name.
func (t *Transport) Name() string { return "connections" }

// Run closes connections that were idle for too long until ctx ends, then
// closes all idle ones.
func (t *Transport) Run(ctx context.Context) error {
	return t.pool.run(ctx)
}

// Refuses reports whether the target's machine refuses new connections, as it
// does once the target's process has ended.
func (t *Transport) Refuses(ctx context.Context, target *manifester.Target) bool {
	return t.pool.refuses(ctx, target.Address())
}

// Do sends the request to the picked target and returns what came of it.
func (t *Transport) Do(ctx context.Context, x *handler.Exchange) *handler.Attempt {
	target := x.Target()
	left := x.Deadline().Sub(t.clock.Now())
	if left <= 0 {
		return handler.NewFailed(target, handler.FaultCanceled, handler.NewRefusal(handler.CodeTimeout, "the deadline passed before the request was sent"))
	}
	if ctx.Err() != nil {
		return handler.NewFailed(target, handler.FaultCanceled, handler.NewRefusal(handler.CodeTimeout, "the caller went away before the request was sent"))
	}
	c, fault := t.pool.take(ctx, target, left, need(x))
	if fault != handler.FaultNone {
		return unsent(target, fault)
	}
	stop := context.AfterFunc(ctx, c.kill)
	a := t.exchange(ctx, c, x)
	if !stop() || !c.usable() {
		t.pool.discard(target.Address(), c)
	} else {
		t.pool.keep(target.Address(), c)
	}
	if a.Fault() != handler.FaultNone && a.MayHaveRun() {
		// What silenced or cut one connection may have cut the idle ones too.
		t.pool.flush(target.Address())
	}

	return a
}

// freshness tells which connections a request may use.
type freshness int

const (
	// anyChecked allows every idle connection that was found open and silent.
	anyChecked freshness = iota
	// recentlyUsed allows idle connections that just carried an answer.
	recentlyUsed
	// fresh allows new connections only.
	fresh
)

func need(x *handler.Exchange) freshness {
	switch {
	case len(x.Tried()) > 1:
		return fresh
	case !x.Idempotent():
		return recentlyUsed
	default:
		return anyChecked
	}
}

func unsent(target *manifester.Target, fault handler.Fault) *handler.Attempt {
	if fault == handler.FaultBusy {
		return handler.NewFailed(target, fault, handler.NewRefusal(handler.CodeOverload, "every connection to the target is in use"))
	}

	return handler.NewFailed(target, fault, handler.NewRefusal(handler.CodeConnect, "no connection to the target could be opened"))
}

func (t *Transport) exchange(ctx context.Context, c *connection, x *handler.Exchange) *handler.Attempt {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	start := t.clock.Now()
	left := x.Deadline().Sub(start)
	fill(req, t.names, x.Target(), x.Request(), left)
	c.begin(left)
	if err := write(c, req); err != nil {
		return t.failed(ctx, c, x.Target(), start, err)
	}
	wait := left
	if p := x.Patience(); p > 0 {
		wait = min(wait, p)
	}
	if err := c.awaitAnswer(wait); err != nil {
		return t.failed(ctx, c, x.Target(), start, err)
	}
	firstByte := t.clock.Now().Sub(start)
	c.begin(x.Deadline().Sub(t.clock.Now()))
	resp.SkipBody = req.Header.IsHead()
	if err := t.read(c, resp); err != nil {
		return t.failed(ctx, c, x.Target(), start, err)
	}
	if foreign(t.names, x.Request(), resp) || unsigned(t.names, resp) {
		return handler.NewFailed(x.Target(), handler.FaultMalformed,
			handler.NewUnknown(handler.CodeUpstream, "the target's answer belongs to another request or lacks its mark")).Timed(firstByte, c.reused)
	}
	if !resp.ConnectionClose() && c.reader.Buffered() == 0 {
		c.finished()
	}

	return t.answered(x.Target(), resp).Timed(firstByte, c.reused)
}

func write(c *connection, req *fasthttp.Request) error {
	if err := req.Write(c.writer); err != nil {
		return errors.Wrap(err, "writing the request")
	}

	return errors.Wrap(c.writer.Flush(), "sending the request")
}

// truncatedError reports an answer whose end could not be told.
type truncatedError struct {
	cause error
}

// Error implements error.
func (e *truncatedError) Error() string {
	return "the answer was not whole; look at the target's log: " + e.cause.Error()
}

// unframedError reports an answer without a length, which only the end of its
// connection would have ended.
type unframedError struct{}

// Error implements error.
func (e *unframedError) Error() string {
	return "the answer has neither a length nor chunks, so it cannot be told to be whole; let the target send one"
}

// interimError reports a 1xx answer that the forwarder does not follow.
type interimError struct{}

// Error implements error.
func (e *interimError) Error() string {
	return "the target sent 101 or too many 1xx answers; it must answer with a final status"
}

// read reads one final answer. The first byte is already buffered.
func (t *Transport) read(c *connection, resp *fasthttp.Response) error {
	r := c.reader
	if err := readFinalHeader(r, resp); err != nil {
		return err
	}
	if resp.SkipBody || !hasBody(resp.StatusCode()) {
		resp.SkipBody = true

		return nil
	}
	const (
		chunked = -1
		unknown = -2
	)
	length := resp.Header.ContentLength()
	if length == unknown && !t.names.Unframed() {
		return &truncatedError{
			cause: &unframedError{},
		}
	}
	if length == unknown {
		resp.SetConnectionClose() // Its end is the end of the answer.
	}
	if err := resp.ReadBody(r, maxAnswerBytes); err != nil {
		return &truncatedError{
			cause: err,
		}
	}
	if length == chunked {
		if err := resp.Header.ReadTrailer(r); err != nil {
			return &truncatedError{
				cause: err,
			}
		}
	}

	return nil
}

func readFinalHeader(r *bufio.Reader, resp *fasthttp.Response) error {
	for range maxInterim {
		if err := resp.Header.Read(r); err != nil {
			return &truncatedError{
				cause: err,
			}
		}
		switch s := resp.StatusCode(); {
		case s == fasthttp.StatusSwitchingProtocols:
			return &interimError{}
		case s >= fasthttp.StatusOK:
			return nil
		}
	}

	return &interimError{}
}

// hasBody reports whether an answer of the status carries a body.
func hasBody(status int) bool {
	return status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// answered returns the attempt of a whole answer.
func (t *Transport) answered(target *manifester.Target, resp *fasthttp.Response) *handler.Attempt {
	if t.names.NotRun() != "" {
		if a := t.refused(target, resp); a != nil {
			return a
		}

		return handler.NewAnswered(target, answer(resp))
	}
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable {
		switch string(resp.Header.Peek(stateField)) {
		case stateShed:
			return handler.NewFailed(target, handler.FaultShed, handler.NewRefusal(handler.CodeShed, "the target shed the request"))
		case stateDraining:
			return handler.NewFailed(target, handler.FaultDraining, handler.NewRefusal(handler.CodeDraining, "the target is draining and did not run the request"))
		}
	}

	return handler.NewAnswered(target, answer(resp))
}

// refused returns the attempt that the target says it did not run, or nil.
func (t *Transport) refused(target *manifester.Target, resp *fasthttp.Response) *handler.Attempt {
	switch {
	case resp.StatusCode() == fasthttp.StatusMisdirectedRequest:
		return handler.NewFailed(target, handler.FaultMisdirected, handler.NewRefusal(handler.CodeNoTarget, "another target has the address"))
	case len(resp.Header.Peek(t.names.NotRun())) > 0:
		return handler.NewFailed(target, handler.FaultShed, handler.NewRefusal(handler.CodeShed, "the target did not run the request"))
	default:
		return nil
	}
}

// failed returns the attempt that ended with err. Whatever the error, the
// request may have run once a byte of it was handed to the kernel.
func (t *Transport) failed(ctx context.Context, c *connection, target *manifester.Target, start timer.Instant, err error) *handler.Attempt {
	took := t.clock.Now().Sub(start)
	if c.sent() == 0 {
		refusal := handler.NewRefusal(handler.CodeConnect, "the connection ended before the request was sent")

		return handler.NewFailed(target, handler.FaultStale, refusal).Timed(0, c.reused)
	}
	fault := classify(ctx, err)
	refusal := handler.NewUnknown(handler.CodeUpstream, "the connection to the target failed before a whole answer")
	if fault == handler.FaultSlow || fault == handler.FaultCanceled {
		refusal = handler.NewUnknown(handler.CodeTimeout, "no whole answer of the target came in time")
	}

	return handler.NewFailed(target, fault, refusal).Timed(took, c.reused)
}

func classify(ctx context.Context, err error) handler.Fault {
	var truncated *truncatedError
	var interim *interimError
	var timeout net.Error
	switch {
	case errors.Is(context.Cause(ctx), handler.ErrAbandoned):
		return handler.FaultSlow
	case ctx.Err() != nil:
		return handler.FaultCanceled
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return handler.FaultSlow
	case errors.As(err, &interim), errors.Is(err, fasthttp.ErrBodyTooLarge):
		return handler.FaultMalformed
	case errors.As(err, &truncated):
		return truncation(truncated.cause)
	default:
		return handler.FaultReset
	}
}

// truncation tells an answer that ended early from one that is not HTTP.
func truncation(cause error) handler.Fault {
	var unframed *unframedError
	var op *net.OpError
	var chunk fasthttp.ErrBrokenChunk
	if errors.As(cause, &unframed) || errors.As(cause, &op) || errors.As(cause, &chunk) ||
		errors.Is(cause, io.EOF) || errors.Is(cause, io.ErrUnexpectedEOF) {
		return handler.FaultTruncated
	}

	return handler.FaultMalformed
}
