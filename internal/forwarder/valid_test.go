package forwarder_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

// validResponses are responses that are unusual and valid.
var validResponses = []string{
	"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 \r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 " + strings.Repeat("long ", 200) + "\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 \t(\"R\xe9ponse\"; ok)\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 299 Miscellaneous\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 308 Moved\r\nLocation: /\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 418 I'm a teapot\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 599 Own\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nsIGNATURE:s\r\ncontent-LENGTH:2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nSignature: \t s \t \r\nContent-Length: \t2 \r\n\r\nok",
	"HTTP/1.1 200 OK\r\nSignature: s\r\n" + nameBytes + ": v\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nSignature: s\r\n" + strings.Repeat("n", 3000) + ": v\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nSignature: s\r\n0: v\r\n_: w\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nSignature: s\r\nX: \"a, b\"; c=\"d\\\"e\" (f) <g> [h] {i} @ ? = / | ~ : ::\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nSignature: s\r\nX: a\tb  c\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nSignature: s\r\nX: \x80\xa0\xff \xc3\xa9 \xe2\x82\xac\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nSignature: s\r\nX:\r\nY: \r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nSignature: s\r\nX: 1\r\nX: 2\r\nSet-Cookie: a=b; Path=/\r\nSet-Cookie: c=d\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nSignature: s\r\n" + strings.Repeat("X-Many: value\r\n", 300) + "Content-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nSignature: s\r\nX: " + strings.Repeat("v", 12000) + "\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 002\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nSignature: s\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nSignature: s\r\nConnection: close\r\n\r\nok",
	"HTTP/1.0 200 OK\r\nSignature: s\r\n\r\nok",
	"HTTP/1.1 404 Not Found\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: CHUNKED\r\n\r\n00002;ext=\"v\"\r\nok\r\n0;last\r\nX-A: v\r\n_: \r\n\r\n",
	"HTTP/1.1 200 OK\r\nSignature: s\r\nTrailer: X-A\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\nX-A: v\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103\r\nLink: </a>; rel=preload\r\n\r\nHTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
}

// TestValidResponses compares what is passed on of unusual responses that are valid, sent at
// once, with the golden file. It guards against a check that refuses what HTTP/1.1 allows.
func TestValidResponses(t *testing.T) {
	var out bytes.Buffer
	g := startRawTarget(t)
	for _, text := range validResponses {
		fmt.Fprintf(&out, "%s: %s\n", shorten(fmt.Sprintf("%q", text)), describeWhole(g.attempt(text)))
	}
	goldie.New(t).Assert(t, "valid", out.Bytes())
}

// TestValidResponsesInPieces checks that the responses are passed on as well where each of
// their bytes arrives by itself.
func TestValidResponsesInPieces(t *testing.T) {
	const maxLength = 400
	whole := startRawTarget(t)
	pieces := startRawTarget(t)
	pieces.target.reply = func(c net.Conn, n int64, r *http.Request) {
		for _, b := range []byte(*pieces.text.Load()) {
			_, _ = c.Write([]byte{b})
			time.Sleep(20 * time.Microsecond)
		}
		closeConn(c, n, r)
	}
	for _, text := range validResponses {
		if len(text) > maxLength {
			continue
		}
		want := describeWhole(whole.attempt(text))
		if got := describeWhole(pieces.attempt(text)); got != want {
			t.Errorf("%q in pieces: got %s, want %s", text, got, want)
		}
	}
}

// describeWhole describes an attempt, with the fields of its response.
func describeWhole(a *handler.Attempt) string {
	text := describe(a)
	if a.Err() == nil {
		for _, f := range a.Response().Fields().All() {
			text += fmt.Sprintf(" %s=%q", f.Name(), f.Value())
		}
	}

	return shorten(text)
}

// shorten leaves out the middle of a long text.
func shorten(text string) string {
	const most = 300
	if len(text) <= most {
		return text
	}

	return text[:most/2] + fmt.Sprintf("...(%d bytes)...", len(text)-most) + text[len(text)-most/2:]
}
