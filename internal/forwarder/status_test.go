package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/forwarder"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/reserver"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// signedDialect is a dialect of targets that sign their responses and may end them with their
// connection.
func signedDialect() *handler.Dialect {
	return handler.NewDialect(handler.DialectSpec{
		Timeout:   "Timeout-Ms",
		Signature: "Signature",
		Unframed:  true,
	})
}

// rawTarget is a target that responds with a text and closes the connection, with a transport
// that sends requests to it.
type rawTarget struct {
	target    *scriptedTarget
	transport *forwarder.Transport
	timer     *timer.Service
	text      atomic.Pointer[string]
}

func startRawTarget(t *testing.T) *rawTarget {
	t.Helper()

	return startRawTargetWith(t, signedDialect())
}

func startRawTargetWith(t *testing.T, d *handler.Dialect) *rawTarget {
	t.Helper()
	g := &rawTarget{timer: timer.NewService()}
	g.transport = forwarder.NewTransport(g.timer, d, reserver.New(testMemory), func(*manifester.Target) int { return 1 })
	g.target = startTarget(t, func(c net.Conn, n int64, r *http.Request) {
		_, _ = io.WriteString(c, *g.text.Load())
		closeConn(c, n, r)
	})
	g.target.silent = true

	return g
}

// attempt returns the result of an attempt to which the target responds with the text.
func (g *rawTarget) attempt(text string) *handler.Attempt {
	g.text.Store(&text)
	defer g.closeIdle()

	return do(context.Background(), g.transport, g.timer, attemptSpec{address: g.target.address, token: "one"})
}

// closeIdle closes the idle connections, so that the next attempt opens one.
func (g *rawTarget) closeIdle() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = g.transport.Run(ended)
}

// TestStatus compares, for each status of three digits, what becomes of a signed response,
// with the golden file. It guards against a response whose status is none of HTTP and
// reaches the caller as a success.
func TestStatus(t *testing.T) {
	g := startRawTarget(t)
	results := make([]string, 1000)
	for n := range results {
		a := g.attempt(fmt.Sprintf("HTTP/1.1 %03d Text\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok", n))
		switch {
		case a.Err() != nil:
			results[n] = string(a.Fault())
		case a.Status() != n:
			results[n] = fmt.Sprintf("a response %d", a.Status())
		default:
			results[n] = fmt.Sprintf("itself, with %q", a.Response().Body())
		}
	}
	goldie.New(t).Assert(t, "status", []byte(strings.Join(ranges(results), "\n")))
}

// TestStatusLine compares the results of responses whose status line is none of HTTP/1.1, or
// follows other bytes, with the golden file.
func TestStatusLine(t *testing.T) {
	var out bytes.Buffer
	g := startRawTarget(t)
	for _, line := range []string{
		"HTTP/1.1 200 OK",
		"HTTP/1.1 200",
		"HTTP/1.1 200 ",
		"HTTP/1.0 200 OK",
		"HTTP/1.1 200 R\xe9ponse\tpr\xeate",
		"HTTP/2.0 200 OK",
		"HTTP/0.9 200 OK",
		"http/1.1 200 OK",
		"HTTP/1.1  200 OK",
		"HTTP/1.1 20 OK",
		"HTTP/1.1 2000 OK",
		"HTTP/1.1 +20 OK",
		"HTTP/1.1 2\x000 OK",
		"HTTP/1.1 200\tOK",
		"HTTP/1.1 200 O\x00K",
		"HTTP/1.1 200 O\rK",
		"HTTP/1.1 200 OK\x7f",
		"\r\nHTTP/1.1 200 OK",
		" HTTP/1.1 200 OK",
		"\x00HTTP/1.1 200 OK",
	} {
		a := g.attempt(line + "\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok")
		fmt.Fprintf(&out, "%q: %s\n", line, describe(a))
	}
	goldie.New(t).Assert(t, "status_line", out.Bytes())
}
