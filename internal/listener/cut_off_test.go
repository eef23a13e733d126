package listener_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

// countingEcho responds like echo and counts the requests that reached the chain.
type countingEcho struct {
	echo

	served atomic.Int64
}

// Serve counts the request.
func (e *countingEcho) Serve(ctx context.Context, x *handler.Exchange) error {
	e.served.Add(1)

	return e.echo.Serve(ctx, x)
}

// TestCutOffRequest compares with the golden file how many bytes of a request must arrive
// before it reaches the chain, where the caller stops after each of them and closes its sending
// side. It guards against a request that is passed on with a part of its header or body.
func TestCutOffRequest(t *testing.T) {
	var out bytes.Buffer
	e := &countingEcho{}
	address := startListener(t, e, longTimeout)
	for _, c := range []struct{ name, text string }{
		{"without a body", "GET /a HTTP/1.1\r\nHost: x\r\nA: b\r\n\r\n"},
		{"with a length", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 12\r\n\r\nhello, world"},
		{"chunked", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n"},
		{"chunked, with a trailer", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n"},
	} {
		first := -1
		for n := range len(c.text) + 1 {
			before := e.served.Load()
			sendCut(t, address, c.text[:n])
			if e.served.Load() > before && first < 0 {
				first = n
			}
		}
		fmt.Fprintf(&out, "%s, of %d bytes: served from %d bytes on\n", c.name, len(c.text), first)
	}
	goldie.New(t).Assert(t, "cut_off", out.Bytes())
}

// sendCut sends the text, closes the sending side and waits until the connection ends.
func sendCut(t *testing.T, address, text string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(longTimeout))
	_, _ = io.Copy(io.Discard, c)
}
