package forwarder_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/forwarder"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/reserver"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// testMemory is more than the bodies of a test hold.
const testMemory = 1 << 30

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// scriptedTarget is a target that responds to each request with given bytes.
type scriptedTarget struct {
	address string
	// requests counts the requests received, and opened the connections accepted.
	requests atomic.Int64
	opened   atomic.Int64
	// reply writes the response to request n, counted from 1.
	reply func(c net.Conn, n int64, r *http.Request)
	// silent is set if the responses do not repeat the id of the attempt.
	silent bool
}

// repeatingConn adds the id of the last attempt to each final response that is written.
type repeatingConn struct {
	net.Conn
	id string
}

var finalStatus = regexp.MustCompile(`HTTP/1\.[01] [2-5]\d\d [^\r]*\r\n`)

// Write writes the text with the id after each status line.
func (c *repeatingConn) Write(b []byte) (int, error) {
	text := finalStatus.ReplaceAllString(string(b), "${0}Lagoonkeel-Attempt-Id: "+c.id+"\r\n")
	if _, err := io.WriteString(c.Conn, text); err != nil {
		return 0, err
	}

	return len(b), nil
}

func startTarget(t *testing.T, reply func(c net.Conn, n int64, r *http.Request)) *scriptedTarget {
	t.Helper()
	f := &scriptedTarget{reply: reply}
	f.address = accept(t, func(c net.Conn) {
		f.opened.Add(1)
		f.serve(c)
	})

	return f
}

func (f *scriptedTarget) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if f.silent {
			f.reply(c, f.requests.Add(1), req)

			continue
		}
		f.reply(&repeatingConn{Conn: c, id: req.Header.Get("Lagoonkeel-Attempt-Id")}, f.requests.Add(1), req)
	}
}

func respond(text string) func(net.Conn, int64, *http.Request) {
	return func(c net.Conn, _ int64, _ *http.Request) {
		_, _ = io.WriteString(c, text)
	}
}

func respondAndClose(text string) func(net.Conn, int64, *http.Request) {
	return func(c net.Conn, _ int64, _ *http.Request) {
		_, _ = io.WriteString(c, text)
		_ = c.Close()
	}
}

func reset(c net.Conn, _ int64, _ *http.Request) {
	if r, ok := c.(*repeatingConn); ok {
		c = r.Conn
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

type attemptSpec struct {
	address          string
	idempotent       bool
	firstByteTimeout time.Duration
	timeout          time.Duration
	token            string
	// body is a short one if it is nil.
	body   []byte
	method string
}

func do(ctx context.Context, t *forwarder.Transport, s *timer.Service, spec attemptSpec) *handler.Attempt {
	return t.Do(ctx, newExchange(s, spec))
}

func newExchange(s *timer.Service, spec attemptSpec) *handler.Exchange {
	if spec.timeout == 0 {
		spec.timeout = 10 * time.Second
	}
	if spec.method == "" {
		spec.method = http.MethodPost
	}
	if spec.body == nil {
		spec.body = []byte("seat")
	}
	r := handler.NewRequest(spec.method, "/book", "", spec.body)
	r.Fields().Add("Token", spec.token)
	x := handler.NewExchange(r, s.Now())
	x.SetRoute(manifester.NewRoute(manifester.RouteSpec{Idempotent: spec.idempotent}), nil)
	x.SetTarget(manifester.NewTarget(manifester.TargetSpec{Name: "t", Address: spec.address, Slots: 4, Connections: 4}))
	x.SetDeadline(s.Now().Add(spec.timeout))
	x.SetFirstByteTimeout(spec.firstByteTimeout)

	return x
}

func newTransport(t *testing.T, limit int) (*forwarder.Transport, *timer.Service) {
	t.Helper()
	s := timer.NewService()

	return forwarder.NewTransport(s, handler.DefaultDialect(), reserver.New(testMemory), func(*manifester.Target) int { return limit }), s
}

func describe(a *handler.Attempt) string {
	if a.Err() == nil {
		return fmt.Sprintf("response %d %q", a.Status(), a.Response().Body())
	}
	var r *handler.Refusal
	if !errors.As(a.Err(), &r) {
		return "untyped error " + a.Err().Error()
	}

	return fmt.Sprintf("fault=%s outcome=%s code=%s", a.Fault(), r.Outcome(), r.Code())
}

// TestResponses compares the result of each kind of response, and whether the
// connection is reused afterwards, with the golden file.
func TestResponses(t *testing.T) {
	big := strings.Repeat("x", 17<<20)
	var out bytes.Buffer
	for _, c := range []struct {
		name  string
		reply func(net.Conn, int64, *http.Request)
	}{
		{"complete", respond(okResponse)},
		{"chunked", respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")},
		{"chunked with trailer", respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n")},
		{"chunk truncated", respondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok")},
		{"last chunk missing", respondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")},
		{"no content", respond("HTTP/1.1 204 No Content\r\n\r\n")},
		{"interim responses", respond("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okResponse)},
		{"too many interim responses", respond(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20))},
		{"switching protocols", respond("HTTP/1.1 101 Switching Protocols\r\n\r\n")},
		{"body shorter than its length", respondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")},
		{"body longer than its length", respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore")},
		{"response sent twice", respond(okResponse + okResponse)},
		{"no length, ended by close", respondAndClose("HTTP/1.0 200 OK\r\n\r\nok")},
		{"two different lengths", respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok")},
		{"header truncated", respondAndClose("HTTP/1.1 200 OK\r\nContent-")},
		{"not HTTP", respond("SSH-2.0-OpenSSH\r\n\r\n")},
		{"too large", respond("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(big)) + "\r\n\r\n" + big)},
		{"closed without response", respondAndClose("")},
		{"reset", reset},
		{"shed", respond("HTTP/1.1 503 Busy\r\nUpstream-State: shed\r\nContent-Length: 0\r\n\r\n")},
		{"draining", respond("HTTP/1.1 503 Busy\r\nUpstream-State: draining\r\nContent-Length: 0\r\n\r\n")},
		{"503 without Upstream-State", respond("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")},
		{"shed with another status", respond("HTTP/1.1 500 Busy\r\nUpstream-State: shed\r\nContent-Length: 0\r\n\r\n")},
		{"Connection: close", respond("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")},
	} {
		f := startTarget(t, c.reply)
		tr, s := newTransport(t, 4)
		first := do(context.Background(), tr, s, attemptSpec{address: f.address, idempotent: true})
		second := do(context.Background(), tr, s, attemptSpec{address: f.address, idempotent: true})
		fmt.Fprintf(&out, "%s: %s; connection reused=%v\n", c.name, describe(first), second.Reused())
	}
	goldie.New(t).Assert(t, "responses", out.Bytes())
}

// TestUnsent checks that a request that was not sent gets the outcome not-run.
func TestUnsent(t *testing.T) {
	var out bytes.Buffer
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := ln.Addr().String()
	ln.Close()
	tr, s := newTransport(t, 1)
	fmt.Fprintf(&out, "refused: %s\n", describe(do(context.Background(), tr, s, attemptSpec{address: closed})))
	fmt.Fprintf(&out, "deadline passed: %s\n", describe(do(context.Background(), tr, s, attemptSpec{address: closed, timeout: -1})))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	fmt.Fprintf(&out, "caller disconnected: %s\n", describe(do(ctx, tr, s, attemptSpec{address: closed})))

	unblock := make(chan struct{})
	f := startTarget(t, func(c net.Conn, _ int64, _ *http.Request) {
		<-unblock
		_, _ = io.WriteString(c, okResponse)
	})
	first := make(chan *handler.Attempt)
	go func() { first <- do(context.Background(), tr, s, attemptSpec{address: f.address}) }()
	for f.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	fmt.Fprintf(&out, "limit reached: %s\n", describe(do(context.Background(), tr, s, attemptSpec{address: f.address})))
	close(unblock)
	fmt.Fprintf(&out, "first request: %s\n", describe(<-first))
	fmt.Fprintf(&out, "below the limit again: %s\n", describe(do(context.Background(), tr, s, attemptSpec{address: f.address})))
	goldie.New(t).Assert(t, "unsent", out.Bytes())
}

// TestLateResponse checks that the response to a request that timed out never
// reaches the next one: the connection is closed and a new one is opened.
func TestLateResponse(t *testing.T) {
	f := startTarget(t, func(c net.Conn, _ int64, r *http.Request) {
		if r.Header.Get("Token") == "late" {
			time.Sleep(150 * time.Millisecond)
		}
		token := r.Header.Get("Token")
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(token), token)
	})
	tr, s := newTransport(t, 4)
	address := f.address
	var out bytes.Buffer
	for _, spec := range []attemptSpec{
		{address: address, idempotent: true, token: "one"},
		{address: address, idempotent: true, token: "late", firstByteTimeout: 30 * time.Millisecond},
		{address: address, idempotent: true, token: "two"},
		{address: address, token: "late", timeout: 30 * time.Millisecond},
		{address: address, token: "three"},
	} {
		a := do(context.Background(), tr, s, spec)
		fmt.Fprintf(&out, "%s: %s reused=%v\n", spec.token, describe(a), a.Reused())
	}
	goldie.New(t).Assert(t, "late_response", out.Bytes())
}

// TestUnexpectedData checks that a connection on which bytes arrived while it was
// idle is not reused, and that the next connection to the target is not either.
func TestUnexpectedData(t *testing.T) {
	f := startTarget(t, func(c net.Conn, n int64, _ *http.Request) {
		_, _ = io.WriteString(c, okResponse)
		if n == 1 {
			time.Sleep(30 * time.Millisecond)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
		}
	})
	tr, s := newTransport(t, 4)
	var out bytes.Buffer
	for i := range 3 {
		a := do(context.Background(), tr, s, attemptSpec{address: f.address, idempotent: true})
		fmt.Fprintf(&out, "%d: %s reused=%v\n", i, describe(a), a.Reused())
		time.Sleep(100 * time.Millisecond)
	}
	goldie.New(t).Assert(t, "unexpected_data", out.Bytes())
}

// TestCallerDisconnects checks that the end of the caller's context closes the
// connection to the target.
func TestCallerDisconnects(t *testing.T) {
	ended := make(chan struct{})
	f := startTarget(t, func(c net.Conn, _ int64, _ *http.Request) {
		var b [1]byte
		_, _ = c.Read(b[:])
		close(ended)
	})
	tr, s := newTransport(t, 4)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	a := do(ctx, tr, s, attemptSpec{address: f.address})
	if got, want := describe(a), "fault=canceled outcome=unknown code=timeout"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	<-ended
}

// TestConcurrentRequests sends many requests at once through few connections, while
// the target truncates, delays and repeats responses and resets connections. It
// checks that no request receives the response to another one.
func TestConcurrentRequests(t *testing.T) {
	f := startTarget(t, func(c net.Conn, n int64, r *http.Request) {
		token := r.Header.Get("Token")
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(token), token)
		switch n % 7 {
		case 0:
			time.Sleep(20 * time.Millisecond)
		case 1:
			text = text[:len(text)-2]
			defer c.Close()
		case 2:
			text += text
		case 3:
			reset(c, n, r)
		}
		_, _ = io.WriteString(c, text)
	})
	tr, s := newTransport(t, 16)
	var wg sync.WaitGroup
	var complete, failed atomic.Int64
	for w := range 8 {
		wg.Go(func() {
			for i := range 60 {
				token := fmt.Sprintf("token-%d-%d", w, i)
				a := do(context.Background(), tr, s, attemptSpec{address: f.address, idempotent: true, token: token, firstByteTimeout: 10 * time.Millisecond})
				if a.Err() != nil {
					failed.Add(1)

					continue
				}
				complete.Add(1)
				if got := string(a.Response().Body()); got != token {
					t.Errorf("the request %s got the response %q", token, got)
				}
			}
		})
	}
	wg.Wait()
	if complete.Load() == 0 || failed.Load() == 0 {
		t.Errorf("%d complete responses and %d failures; the test needs both", complete.Load(), failed.Load())
	}
}

// TestSecondCopy checks that a second copy of a response, which arrives once the connection
// carries the next request, never becomes the response to that request. Where the target
// does not repeat the ids of attempts, the connection carries no second request.
func TestSecondCopy(t *testing.T) {
	var out bytes.Buffer
	for _, silent := range []bool{false, true} {
		f := startTarget(t, func(c net.Conn, _ int64, r *http.Request) {
			token := r.Header.Get("Token")
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(token), token)
			if token == "one" {
				time.Sleep(50 * time.Millisecond) // The next request is on its way by then.
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none")
			}
		})
		f.silent = silent
		tr, s := newTransport(t, 4)
		for _, token := range []string{"one", "two", "three"} {
			a := do(context.Background(), tr, s, attemptSpec{address: f.address, idempotent: true, token: token})
			fmt.Fprintf(&out, "silent=%v, %s: %s reused=%v\n", silent, token, describe(a), a.Reused())
		}
	}
	goldie.New(t).Assert(t, "second_copy", out.Bytes())
}
