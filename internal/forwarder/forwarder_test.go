package forwarder_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// fake is a target that answers each request by a script in bytes.
type fake struct {
	ln net.Listener
	// seen counts requests, and opened connections.
	seen   atomic.Int64
	opened atomic.Int64
	// reply writes the answer to the request with the number.
	reply func(c net.Conn, n int64, r *http.Request)
}

func startFake(t *testing.T, reply func(c net.Conn, n int64, r *http.Request)) *fake {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fake{
		ln:    ln,
		reply: reply,
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			f.opened.Add(1)
			go f.serve(c)
		}
	}()

	return f
}

func (f *fake) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		f.reply(c, f.seen.Add(1), req)
	}
}

func send(text string) func(net.Conn, int64, *http.Request) {
	return func(c net.Conn, _ int64, _ *http.Request) {
		_, _ = io.WriteString(c, text)
	}
}

func sendAndClose(text string) func(net.Conn, int64, *http.Request) {
	return func(c net.Conn, _ int64, _ *http.Request) {
		_, _ = io.WriteString(c, text)
		_ = c.Close()
	}
}

func reset(c net.Conn, _ int64, _ *http.Request) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

type order struct {
	address    string
	idempotent bool
	patience   time.Duration
	timeout    time.Duration
	token      string
	method     string
}

func do(ctx context.Context, t *forwarder.Transport, s *timer.Service, o order) *handler.Attempt {
	if o.timeout == 0 {
		o.timeout = 10 * time.Second
	}
	if o.method == "" {
		o.method = http.MethodPost
	}
	r := handler.NewRequest(o.method, "/book", "", []byte("seat"))
	r.Fields().Add("Token", o.token)
	x := handler.NewExchange(r, s.Now())
	x.SetRoute(manifester.NewRoute(manifester.RouteSpec{Idempotent: o.idempotent}), nil)
	x.SetTarget(manifester.NewTarget(manifester.TargetSpec{Name: "t", Address: o.address, Slots: 4, Connections: 4}))
	x.SetDeadline(s.Now().Add(o.timeout))
	x.SetPatience(o.patience)

	return t.Do(ctx, x)
}

func newTransport(t *testing.T, bound int) (*forwarder.Transport, *timer.Service) {
	t.Helper()
	s := timer.NewService()

	return forwarder.NewTransport(s, handler.OwnNames(), func(*manifester.Target) int { return bound }), s
}

func describe(a *handler.Attempt) string {
	if a.Err() == nil {
		return fmt.Sprintf("answer %d %q", a.Status(), a.Response().Body())
	}
	var r *handler.Refusal
	if !errors.As(a.Err(), &r) {
		return "untyped error " + a.Err().Error()
	}

	return fmt.Sprintf("fault=%s outcome=%s code=%s", a.Fault(), r.Outcome(), r.Code())
}

// TestAnswers compares what is made of each kind of answer with the golden
// transcript, and whether the connection is used again afterwards.
func TestAnswers(t *testing.T) {
	big := strings.Repeat("x", 17<<20)
	var out bytes.Buffer
	for _, c := range []struct {
		name  string
		reply func(net.Conn, int64, *http.Request)
	}{
		{"whole", send(whole)},
		{"chunked", send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")},
		{"chunked with trailer", send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n")},
		{"chunks cut", sendAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok")},
		{"last chunk missing", sendAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")},
		{"no content", send("HTTP/1.1 204 No Content\r\n\r\n")},
		{"interim answers", send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole)},
		{"interim answers without end", send(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20))},
		{"switching protocols", send("HTTP/1.1 101 Switching Protocols\r\n\r\n")},
		{"shorter than declared", sendAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")},
		{"longer than declared", send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore")},
		{"doubled", send(whole + whole)},
		{"no length, ended by close", sendAndClose("HTTP/1.0 200 OK\r\n\r\nok")},
		{"two lengths", send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok")},
		{"header cut", sendAndClose("HTTP/1.1 200 OK\r\nContent-")},
		{"not HTTP", send("SSH-2.0-OpenSSH\r\n\r\n")},
		{"too large", send("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(big)) + "\r\n\r\n" + big)},
		{"closed without answer", sendAndClose("")},
		{"reset", reset},
		{"shed", send("HTTP/1.1 503 Busy\r\nUpstream-State: shed\r\nContent-Length: 0\r\n\r\n")},
		{"draining", send("HTTP/1.1 503 Busy\r\nUpstream-State: draining\r\nContent-Length: 0\r\n\r\n")},
		{"503 of its own", send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")},
		{"shed with another status", send("HTTP/1.1 500 Busy\r\nUpstream-State: shed\r\nContent-Length: 0\r\n\r\n")},
		{"close announced", send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")},
	} {
		f := startFake(t, c.reply)
		tr, s := newTransport(t, 4)
		first := do(context.Background(), tr, s, order{address: f.ln.Addr().String(), idempotent: true})
		second := do(context.Background(), tr, s, order{address: f.ln.Addr().String(), idempotent: true})
		fmt.Fprintf(&out, "%s: %s; connection kept=%v\n", c.name, describe(first), second.Reused())
	}
	goldie.New(t).Assert(t, "answers", out.Bytes())
}

// TestUnsent checks that nothing which was not sent is told as unknown.
func TestUnsent(t *testing.T) {
	var out bytes.Buffer
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := ln.Addr().String()
	ln.Close()
	tr, s := newTransport(t, 1)
	fmt.Fprintf(&out, "refused: %s\n", describe(do(context.Background(), tr, s, order{address: gone})))
	fmt.Fprintf(&out, "deadline passed: %s\n", describe(do(context.Background(), tr, s, order{address: gone, timeout: -1})))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	fmt.Fprintf(&out, "caller gone: %s\n", describe(do(ctx, tr, s, order{address: gone})))

	hold := make(chan struct{})
	f := startFake(t, func(c net.Conn, _ int64, _ *http.Request) {
		<-hold
		_, _ = io.WriteString(c, whole)
	})
	first := make(chan *handler.Attempt)
	go func() { first <- do(context.Background(), tr, s, order{address: f.ln.Addr().String()}) }()
	for f.seen.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	fmt.Fprintf(&out, "bound reached: %s\n", describe(do(context.Background(), tr, s, order{address: f.ln.Addr().String()})))
	close(hold)
	fmt.Fprintf(&out, "first: %s\n", describe(<-first))
	fmt.Fprintf(&out, "bound free again: %s\n", describe(do(context.Background(), tr, s, order{address: f.ln.Addr().String()})))
	goldie.New(t).Assert(t, "unsent", out.Bytes())
}

// TestLateAnswer checks that the answer to an abandoned request never reaches
// the next one, and that silent connections to the target are flushed.
func TestLateAnswer(t *testing.T) {
	f := startFake(t, func(c net.Conn, _ int64, r *http.Request) {
		if r.Header.Get("Token") == "late" {
			time.Sleep(150 * time.Millisecond)
		}
		token := r.Header.Get("Token")
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(token), token)
	})
	tr, s := newTransport(t, 4)
	address := f.ln.Addr().String()
	var out bytes.Buffer
	for _, o := range []order{
		{address: address, idempotent: true, token: "one"},
		{address: address, idempotent: true, token: "late", patience: 30 * time.Millisecond},
		{address: address, idempotent: true, token: "two"},
		{address: address, token: "late", timeout: 30 * time.Millisecond},
		{address: address, token: "three"},
	} {
		a := do(context.Background(), tr, s, o)
		fmt.Fprintf(&out, "%s: %s reused=%v\n", o.token, describe(a), a.Reused())
	}
	goldie.New(t).Assert(t, "late", out.Bytes())
}

// TestIdleBytes checks that bytes on an idle connection end it, and that the
// target's connections are used once only for a while.
func TestIdleBytes(t *testing.T) {
	f := startFake(t, func(c net.Conn, n int64, _ *http.Request) {
		_, _ = io.WriteString(c, whole)
		if n == 1 {
			time.Sleep(30 * time.Millisecond)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
		}
	})
	tr, s := newTransport(t, 4)
	var out bytes.Buffer
	for i := range 3 {
		a := do(context.Background(), tr, s, order{address: f.ln.Addr().String(), idempotent: true})
		fmt.Fprintf(&out, "%d: %s reused=%v\n", i, describe(a), a.Reused())
		time.Sleep(100 * time.Millisecond)
	}
	goldie.New(t).Assert(t, "idle_bytes", out.Bytes())
}

// TestCancel checks that a caller who goes away ends the upstream's connection.
func TestCancel(t *testing.T) {
	ended := make(chan struct{})
	f := startFake(t, func(c net.Conn, _ int64, _ *http.Request) {
		var b [1]byte
		_, _ = c.Read(b[:])
		close(ended)
	})
	tr, s := newTransport(t, 4)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	a := do(ctx, tr, s, order{address: f.ln.Addr().String()})
	if got, want := describe(a), "fault=canceled outcome=unknown code=timeout"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	<-ended
}

// TestCrossed sends many requests at once through few connections, while the
// target cuts, delays and doubles answers, and checks each answer's token.
func TestCrossed(t *testing.T) {
	f := startFake(t, func(c net.Conn, n int64, r *http.Request) {
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
	var whole, failed atomic.Int64
	for w := range 8 {
		wg.Go(func() {
			for i := range 60 {
				token := fmt.Sprintf("token-%d-%d", w, i)
				a := do(context.Background(), tr, s, order{address: f.ln.Addr().String(), idempotent: true, token: token, patience: 10 * time.Millisecond})
				if a.Err() != nil {
					failed.Add(1)

					continue
				}
				whole.Add(1)
				if got := string(a.Response().Body()); got != token {
					t.Errorf("%s got the answer %q", token, got)
				}
			}
		})
	}
	wg.Wait()
	if whole.Load() == 0 || failed.Load() == 0 {
		t.Errorf("%d whole answers and %d failures; the test needs both", whole.Load(), failed.Load())
	}
}
