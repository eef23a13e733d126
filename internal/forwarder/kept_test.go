package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/forwarder"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/reserver"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// TestKeptConnections sends a request behind each of many responses whose targets keep their
// connection, and compares with the golden file whether it reuses the connection. It guards
// against a request that gets what is left of a broken response.
func TestKeptConnections(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok"
	const chunked = "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n"
	var out bytes.Buffer
	for _, text := range []string{
		whole,
		chunked + "\r\n2\r\nok\r\n0\r\n\r\n",
		chunked + "\r\n2\r\nok\r\n0\r\nX-A: v\r\n\r\n",
		"HTTP/1.1 000 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 099 OK\r\n\r\n" + whole,
		"HTTP/1.1 600 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 O\x00K\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
		"\r\n" + whole,
		"HTTP/1.1 200 OK\r\nX A: v\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length : 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nSignature: s\r\n\tX: y\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nX: y\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 103 Early\r\nContent-Length: 56\r\n\r\n" + whole,
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0 200 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		chunked + "Content-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		chunked + "\r\n2\r\nok\r\n0\r\nX A: v\r\n\r\n",
		chunked + "\r\n2\r\nokay\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nSignature: s\r\nSignature: t\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 204 No Content\r\nSignature: s\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 304 Not Modified\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
		whole + "\r\n",
		whole + whole,
	} {
		f := startTarget(t, func(c net.Conn, n int64, _ *http.Request) {
			if n == 1 {
				_, _ = io.WriteString(c, text)
			} else {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 4\r\n\r\nnext")
			}
		})
		f.silent = true
		s := timer.NewService()
		d := handler.NewDialect(handler.DialectSpec{Timeout: "Timeout-Ms", Signature: "Signature", Unframed: true, Unencoded: true})
		tr := forwarder.NewTransport(s, d, reserver.New(testMemory), func(*manifester.Target) int { return 1 })
		first := do(context.Background(), tr, s, attemptSpec{address: f.address})
		second := do(context.Background(), tr, s, attemptSpec{address: f.address, idempotent: true})
		fmt.Fprintf(&out, "%q: %s; then %s reused=%v\n", text, describe(first), describe(second), second.Reused())
	}
	goldie.New(t).Assert(t, "kept", out.Bytes())
}
