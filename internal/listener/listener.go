// Package listener is the HTTP/1.1 front end towards callers. It turns bytes
// into exchanges and passes them to the chain.
package listener

import (
	"context"
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
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// headerTimeout bounds the reading of one request.
	headerTimeout = 10 * time.Second
	writeTimeout  = 30 * time.Second
	idleTimeout   = time.Minute
	// headerBytes bounds the header of a request.
	headerBytes = 16 << 10
	// stopTimeout bounds how long a planned stop waits for open requests.
	stopTimeout = time.Minute
	// retryDigits are the decimals of a waiting time in seconds.
	retryDigits = 3
)

type clock interface {
	Now() timer.Instant
}

// Listener serves callers.
type Listener struct {
	chain handler.Handler
	clock clock
	// names tell whether paths are passed on as received.
	names  *handler.Names
	ln     net.Listener
	server *fasthttp.Server
	// stopTimeout bounds how long a planned stop waits for open requests.
	stopTimeout time.Duration
	// draining is set once a planned stop began: each answer then asks the
	// caller to use another connection.
	draining atomic.Bool
	// base is the context of every request; set once by Run.
	base context.Context //nolint:containedctx // Requests outlive the call that starts the server.
}

// New returns a front end on the listener that passes exchanges to the chain.
func New(ln net.Listener, chain handler.Handler, maxBody int, n *handler.Names, c clock) *Listener {
	l := &Listener{
		chain:       chain,
		clock:       c,
		names:       n,
		ln:          ln,
		base:        context.Background(),
		stopTimeout: stopTimeout,
	}
	l.server = &fasthttp.Server{
		Handler:                      l.serve,
		ErrorHandler:                 l.reject,
		ReadTimeout:                  headerTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		ReadBufferSize:               headerBytes,
		MaxRequestBodySize:           maxBody,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		Logger:                       silent{},
	}

	return l
}

// silent drops fasthttp's own log lines, which have no event number.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

// Name returns the controller's name.
func (l *Listener) Name() string { return "listener" }

// Address returns the address that callers reach.
func (l *Listener) Address() string { return l.ln.Addr().String() }

// Drain asks every caller, with its next answer, to leave the connection. The
// listener goes on accepting.
func (l *Listener) Drain() {
	l.draining.Store(true)
}

// Run serves callers until ctx ends, then answers every open request.
func (l *Listener) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() {
		failed <- l.server.Serve(l.ln)
	}()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serving callers")
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.stopTimeout)
	defer cancel()

	return errors.Wrap(l.server.ShutdownWithContext(stop), "stopping the callers' listener")
}

func (l *Listener) serve(c *fasthttp.RequestCtx) {
	if err := checkFraming(&c.Request); err != nil {
		c.SetConnectionClose()
		l.refuse(c, err)

		return
	}
	if l.draining.Load() {
		c.SetConnectionClose()
	}
	x := handler.NewExchange(l.request(c), l.clock.Now())
	ctx, w := watch(l.base, c.Conn())
	err := l.chain.Serve(ctx, x)
	w.stop()
	if err != nil {
		l.refuse(c, err)

		return
	}
	l.answer(c, x.Response())
}

// retryAfter renders the time that a caller should wait: whole seconds as the
// standard has it, or with a fraction where callers take one.
func (l *Listener) retryAfter(w time.Duration) string {
	if l.names.Fractions() {
		return strconv.FormatFloat(w.Seconds(), 'f', retryDigits, 64)
	}

	return strconv.Itoa(int(math.Ceil(w.Seconds())))
}

func (l *Listener) request(c *fasthttp.RequestCtx) *handler.Request {
	path, query := string(c.URI().Path()), string(c.URI().QueryString())
	if l.names.Verbatim() {
		path, query, _ = strings.Cut(string(c.Request.Header.RequestURI()), "?")
	}
	r := handler.NewRequest(string(c.Method()), path, query, append([]byte(nil), c.Request.Body()...))
	for k, v := range c.Request.Header.All() {
		r.Fields().Add(string(k), string(v))
	}

	return r
}

func (l *Listener) answer(c *fasthttp.RequestCtx, r *handler.Response) {
	c.Response.SetStatusCode(r.Status())
	for _, f := range r.Fields().All() {
		c.Response.Header.Add(f.Name(), f.Value())
	}
	c.Response.SetBodyRaw(r.Body())
}

// reject answers a request whose framing was not valid and closes the
// connection.
func (l *Listener) reject(c *fasthttp.RequestCtx, err error) {
	code := handler.CodeBadRequest
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) || errors.Is(err, fasthttp.ErrBodyTooLarge) {
		code = handler.CodeTooLarge
	}
	reason := "the request could not be read"
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		code = handler.CodeSlowRequest
		reason = "the request did not arrive in time"
	}
	c.SetConnectionClose()
	l.refuse(c, handler.NewRefusal(code, reason))
}

func (l *Listener) refuse(c *fasthttp.RequestCtx, err error) {
	var r *handler.Refusal
	if !errors.As(err, &r) {
		r = handler.NewUnknown(handler.CodeInternal, "the request failed inside the fleet")
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
