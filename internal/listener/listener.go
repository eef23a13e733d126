// Package listener is the HTTP/1.1 front end for callers. It reads requests,
// passes them to the chain as exchanges, and writes the responses.
package listener

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonkeel/lagoonkeel/internal/encoder"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/recoverer"
	"github.com/lagoonkeel/lagoonkeel/internal/reserver"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// defaultHeaderTimeout bounds the time until a request's header has arrived, and
	// defaultIdleTimeout the wait for the next request, if the configuration does not
	// set them. bodyTimeout bounds the reading of a body, and writeTimeout the writing
	// of a response.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
	bodyTimeout          = 10 * time.Second
	writeTimeout         = 30 * time.Second
	// ownMaxHeaderBytes is the VM's own limit on the header fields of a request. A
	// higher configured limit has no effect. The read buffer has requestLineBytes
	// more, for the request line.
	ownMaxHeaderBytes = 16 << 10
	requestLineBytes  = 4 << 10
	// shutdownTimeout bounds how long a shutdown waits for open requests.
	shutdownTimeout = time.Minute
	// retryAfterDecimals is the number of decimals of a fractional Retry-After value.
	retryAfterDecimals = 3
)

type clock interface {
	Now() timer.Instant
}

// Listener serves callers.
type Listener struct {
	chain handler.Handler
	clock clock
	// logger logs requests on which the chain panicked.
	logger *logger.Logger
	// dialect determines whether paths are passed on as received, and whether
	// Retry-After may have a fraction.
	dialect *handler.Dialect
	ln      net.Listener
	limits  *effectiveLimits
	memory  *reserver.Reserver
	server  *fasthttp.Server
	// connections holds the open connections.
	connections *registry
	// shutdownTimeout bounds how long a shutdown waits for open requests.
	shutdownTimeout time.Duration
	// draining is set by Drain. Each response then closes its connection.
	draining atomic.Bool
	// base is the parent of the context of every request. It never ends, so that
	// requests may finish during a shutdown.
	base context.Context //nolint:containedctx // Requests outlive the call that starts the server.
}

// Spec lists the settings and dependencies of a Listener.
type Spec struct {
	// Socket accepts the callers' connections.
	Socket net.Listener
	// Chain handles exchanges.
	Chain handler.Handler
	// MaxBody is the VM's own limit on a request body in bytes. Limits provides those
	// of the configuration.
	MaxBody int
	Limits  limitSource
	// Memory limits the bytes of the bodies that are held at any time.
	Memory  *reserver.Reserver
	Dialect *handler.Dialect
	Clock   clock
	Logger  *logger.Logger
}

// New returns a Listener that serves once Run is called.
func New(s Spec) *Listener {
	l := &Listener{
		limits: &effectiveLimits{
			source:          s.Limits,
			ownMaxBodyBytes: s.MaxBody,
		},
		memory:          s.Memory,
		connections:     newRegistry(),
		chain:           s.Chain,
		clock:           s.Clock,
		logger:          s.Logger,
		dialect:         s.Dialect,
		ln:              s.Socket,
		base:            context.Background(),
		shutdownTimeout: shutdownTimeout,
	}
	l.server = &fasthttp.Server{
		Handler:                      l.serve,
		ErrorHandler:                 l.handleReadError,
		ReadTimeout:                  readTimeoutMarker,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeoutMarker,
		ReadBufferSize:               ownMaxHeaderBytes + requestLineBytes,
		MaxRequestBodySize:           min(s.MaxBody, smallBodyBytes),
		StreamRequestBody:            true,
		HeaderReceived:               l.bodyConfig,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		DisablePreParseMultipartForm: true,
		Logger:                       discardLogger{},
	}

	return l
}

// discardLogger discards fasthttp's own log lines, which have no event number.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Name returns the controller's name.
func (l *Listener) Name() string { return "listener" }

// Address returns the address that callers reach.
func (l *Listener) Address() string { return l.ln.Addr().String() }

// Drain makes every later response close its connection and tell the caller so.
// The listener continues to accept connections.
func (l *Listener) Drain() {
	l.draining.Store(true)
}

// Run serves callers until ctx ends. It then accepts the connections that wait to be
// accepted, closes the socket and the connections without a request, and waits for open
// requests, for at most shutdownTimeout. It returns an error if the server fails or
// if requests are still open at that time.
func (l *Listener) Run(ctx context.Context) error {
	accepting := &limitedListener{
		Listener:    l.ln,
		limits:      l.limits,
		connections: l.connections,
		ended:       make(chan struct{}),
	}
	failed := make(chan error, 1)
	go func() {
		failed <- l.server.Serve(accepting)
	}()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serving callers")
	case <-ctx.Done():
	}
	l.Drain()
	if err := accepting.stop(); err != nil {
		return errors.Wrap(err, "closing the callers' socket")
	}
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.shutdownTimeout)
	defer cancel()
	l.connections.expire()

	return errors.Wrap(l.connections.wait(shutdown), "answering open requests")
}

// bodyConfig returns the limits on the body that follows a header.
func (l *Listener) bodyConfig(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{
		ReadTimeout:        bodyTimeout,
		MaxRequestBodySize: min(l.limits.maxBodyBytes(), smallBodyBytes),
	}
}

// checkRequest refuses a request whose header is too large or whose framing is
// ambiguous.
func (l *Listener) checkRequest(r *fasthttp.Request) error {
	if n, limit := len(r.Header.RawHeaders()), l.limits.maxHeaderBytes(); n > limit {
		return handler.NewRefusal(handler.CodeHeaderTooLarge, fmt.Sprintf("the header has %d bytes; at most %d are taken", n, limit))
	}

	return checkFraming(r)
}

func (l *Listener) serve(c *fasthttp.RequestCtx) {
	defer sendAtOnce(c)
	if err := l.checkRequest(&c.Request); err != nil {
		c.SetConnectionClose()
		l.writeRefusal(c, err)

		return
	}
	body, reserved, err := l.readBody(c)
	if err != nil {
		c.SetConnectionClose()
		l.writeRefusal(c, err)

		return
	}
	x := handler.NewExchange(l.newRequest(c, body), l.clock.Now())
	x.Hold(reserved)
	ctx, w := watch(l.base, c.Conn())
	err = l.handle(ctx, x)
	w.stop()
	if l.draining.Load() {
		c.SetConnectionClose()
	}
	if err != nil {
		l.memory.Release(x.Held())
		l.writeRefusal(c, err)

		return
	}
	l.writeResponse(c, x)
}

// sendAtOnce makes the server send the response as soon as the handler has returned. Without
// a deadline of the handler, the server holds the response back while its buffer has bytes
// of a further request, until that one was answered too.
func sendAtOnce(c *fasthttp.RequestCtx) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // On a closed connection, the write fails.
}

// handle passes the exchange to the chain. A panic fails only this request, whose outcome
// is then unknown.
func (l *Listener) handle(ctx context.Context, x *handler.Exchange) error {
	err := recoverer.Do(func() error { return l.chain.Serve(ctx, x) })
	var p *recoverer.PanicError
	if errors.As(err, &p) {
		l.logger.Log(logger.Panicked, logger.Failure(err))
	}

	return err
}

// retryAfter formats the time that a caller should wait: in whole seconds, rounded
// up, as the HTTP standard requires, or with a fraction if callers accept one.
func (l *Listener) retryAfter(w time.Duration) string {
	if l.dialect.Fractions() {
		return strconv.FormatFloat(w.Seconds(), 'f', retryAfterDecimals, 64)
	}

	return strconv.Itoa(int(math.Ceil(w.Seconds())))
}

func (l *Listener) newRequest(c *fasthttp.RequestCtx, body []byte) *handler.Request {
	path, query := string(c.URI().Path()), string(c.URI().QueryString())
	if l.dialect.Verbatim() {
		path, query, _ = strings.Cut(string(c.Request.Header.RequestURI()), "?")
	}
	r := handler.NewRequest(string(c.Method()), path, query, body)
	for k, v := range c.Request.Header.All() {
		r.Fields().Add(string(k), string(v))
	}

	return r
}

// writeResponse writes the response of the exchange. The memory of a large body is
// released once it was written.
func (l *Listener) writeResponse(c *fasthttp.RequestCtx, x *handler.Exchange) {
	r := x.Response()
	c.Response.SetStatusCode(r.Status())
	for _, f := range r.Fields().All() {
		c.Response.Header.Add(f.Name(), f.Value())
	}
	if len(r.Body()) <= smallBodyBytes {
		l.memory.Release(x.Held())
		c.Response.SetBodyRaw(r.Body())

		return
	}
	c.Response.SetBodyStream(&reservedBody{
		Reader:   bytes.NewReader(r.Body()),
		memory:   l.memory,
		reserved: x.Held(),
	}, len(r.Body()))
}

// handleReadError refuses a request that was malformed, too large or too slow to
// be read, and closes the connection.
func (l *Listener) handleReadError(c *fasthttp.RequestCtx, err error) {
	code := handler.CodeBadRequest
	reason := "the request could not be read"
	var smallBuffer *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &smallBuffer):
		code = handler.CodeHeaderTooLarge
		reason = fmt.Sprintf("the header is larger than %d bytes", l.limits.maxHeaderBytes())
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		code = handler.CodeTooLarge
		reason = fmt.Sprintf("the body is larger than %d bytes", l.limits.maxBodyBytes())
	}
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		code = handler.CodeSlowRequest
		reason = "the request did not arrive in time"
	}
	c.SetConnectionClose()
	l.writeRefusal(c, handler.NewRefusal(code, reason))
}

// writeRefusal writes err as a response. An error that is not a refusal has the
// code handler.CodeInternal and an unknown outcome.
func (l *Listener) writeRefusal(c *fasthttp.RequestCtx, err error) {
	var r *handler.Refusal
	if !errors.As(err, &r) {
		r = handler.NewUnknownOutcome(handler.CodeInternal, "the request failed inside the fleet")
	}
	body, err := encoder.Refusal(r)
	if err != nil {
		body = nil
	}
	c.Response.SetStatusCode(r.Status())
	c.Response.Header.SetContentType("application/json")
	c.Response.Header.Set(handler.OutcomeField, string(r.Outcome()))
	if w := r.RetryAfter(); w > 0 {
		c.Response.Header.Set("Retry-After", l.retryAfter(w))
	}
	c.Response.SetBodyRaw(body)
}
