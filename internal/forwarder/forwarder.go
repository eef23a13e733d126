// Package forwarder sends requests to targets over HTTP/1.1. It owns the
// connections, so that it can tell whether a byte of a request was sent.
package forwarder

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 16 << 20
	// maxIdleAge bounds how long a connection may wait for its next request.
	maxIdleAge = 10 * time.Second
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 16 << 10
	// timeoutField carries the time left in whole milliseconds.
	timeoutField = "Lagoonkeel-Timeout-Ms"
	// stateField is the field by which an upstream says that it did not run a
	// request.
	stateField = "Upstream-State"
	stateShed  = "shed"
)

type clock interface {
	Now() timer.Instant
}

// connection is one open connection to a target; it carries one request at a
// time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleSince is when the last answer had been read.
	idleSince timer.Instant
}

// Transport sends requests. It is safe for concurrent use.
type Transport struct {
	clock  clock
	dialer net.Dialer
	mu     sync.Mutex
	// idle maps addresses to open connections, the last used last.
	idle map[string][]*connection
}

// NewTransport returns a transport without connections.
func NewTransport(c clock) *Transport {
	return &Transport{
		clock: c,
		dialer: net.Dialer{
			Timeout: time.Second,
		},
		idle: map[string][]*connection{},
	}
}

// Do sends the request to the target and returns the whole answer. The error is
// a *handler.Refusal.
func (t *Transport) Do(ctx context.Context, target *manifester.Target, request *handler.Request, deadline timer.Instant) (*handler.Response, error) {
	left := deadline.Sub(t.clock.Now())
	if left <= 0 {
		return nil, handler.NewRefusal(handler.CodeTimeout, "the deadline passed before the request was sent")
	}
	c, err := t.connect(ctx, target.Address(), left)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		_ = c.Close() // Ends the exchange; the read below reports it.
	})
	defer stop()

	return t.exchange(c, target, request, left)
}

func (t *Transport) exchange(c *connection, target *manifester.Target, request *handler.Request, left time.Duration) (*handler.Response, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fill(req, target.Address(), request, left)
	if err := c.SetDeadline(time.Now().Add(left)); err != nil {
		_ = c.Close()

		return nil, handler.NewRefusal(handler.CodeConnect, "the connection to the target was closed")
	}
	if err := send(c, req, resp); err != nil {
		_ = c.Close()

		return nil, failure(err)
	}
	answer := read(resp)
	if resp.ConnectionClose() || c.reader.Buffered() > 0 {
		_ = c.Close()
	} else {
		t.keep(target.Address(), c)
	}
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek(stateField)) == stateShed {
		return nil, handler.NewRefusal(handler.CodeShed, "the target shed the request")
	}

	return answer, nil
}

func send(c *connection, req *fasthttp.Request, resp *fasthttp.Response) error {
	if err := req.Write(c.writer); err != nil {
		return err //nolint:wrapcheck // Turned into a refusal by failure.
	}
	if err := c.writer.Flush(); err != nil {
		return err //nolint:wrapcheck // Turned into a refusal by failure.
	}
	resp.SkipBody = req.Header.IsHead()

	return resp.ReadLimitBody(c.reader, maxAnswerBytes) //nolint:wrapcheck // Turned into a refusal by failure.
}

// failure returns the refusal of a request of which bytes may have been sent.
func failure(err error) *handler.Refusal {
	if e, ok := err.(net.Error); ok && e.Timeout() { //nolint:errorlint // fasthttp returns it unwrapped.
		return handler.NewUnknown(handler.CodeTimeout, "the target gave no whole answer in time")
	}

	return handler.NewUnknown(handler.CodeUpstream, "the connection to the target failed before a whole answer")
}

// fill builds the upstream request. The path is the one that was decided on.
func fill(req *fasthttp.Request, host string, r *handler.Request, left time.Duration) {
	uri := req.URI()
	uri.SetScheme("http")
	uri.SetHost(host)
	uri.SetPath(r.Path())
	uri.SetQueryString(r.Query())
	req.Header.SetMethod(r.Method())
	for _, f := range r.Fields().All() {
		if !hopByHop(f.Name()) {
			req.Header.Add(f.Name(), f.Value())
		}
	}
	req.Header.Set(timeoutField, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	req.SetBodyRaw(r.Body())
}

func read(resp *fasthttp.Response) *handler.Response {
	answer := handler.NewResponse(resp.StatusCode(), append([]byte(nil), resp.Body()...))
	for k, v := range resp.Header.All() {
		name := string(k)
		if !hopByHop(name) && name != handler.OutcomeField {
			answer.Fields().Add(name, string(v))
		}
	}

	return answer
}

// hopByHop reports whether a field belongs to one connection only.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect":
		return true
	default:
		return false
	}
}

func (t *Transport) connect(ctx context.Context, address string, left time.Duration) (*connection, error) {
	if c := t.reuse(address); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	conn, err := t.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, handler.NewRefusal(handler.CodeConnect, "no connection to the target could be opened")
	}

	return &connection{
		Conn:   conn,
		reader: bufio.NewReaderSize(conn, bufferBytes),
		writer: bufio.NewWriterSize(conn, bufferBytes),
	}, nil
}

func (t *Transport) reuse(address string) *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		t.idle[address] = list
		if t.clock.Now().Sub(c.idleSince) < maxIdleAge {
			return c
		}
		_ = c.Close()
	}

	return nil
}

func (t *Transport) keep(address string, c *connection) {
	c.idleSince = t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle[address] = append(t.idle[address], c)
}
