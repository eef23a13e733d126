package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/forwarder"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/reserver"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// cutBody is the body of the responses that the test cuts off.
const cutBody = "hello, world"

// cutResponses are responses that the test cuts off after each of their bytes.
var cutResponses = []struct {
	name string
	head string
	body string
}{
	{"with a length", "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n", cutBody},
	{"with the length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nSignature: s\r\n\r\n", cutBody},
	{"chunked", "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n"},
	{"chunked, with a trailer", "HTTP/1.1 200 OK\r\nSignature: s\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n", "c\r\nhello, world\r\n0\r\nX-Sum: 1\r\n\r\n"},
	{"until the connection closes", "HTTP/1.1 200 OK\r\nSignature: s\r\nConnection: close\r\n\r\n", cutBody},
	{"lines that end with LF alone", "HTTP/1.1 200 OK\nSignature: s\nContent-Length: 12\n\n", cutBody},
	{"a field over two lines", "HTTP/1.1 200 OK\r\nSignature: s\r\n t\r\nContent-Length: 12\r\n\r\n", cutBody},
	{"after an interim response", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 12\r\n\r\n", cutBody},
	{"no content", "HTTP/1.1 204 No Content\r\nSignature: s\r\n\r\n", ""},
}

// cutPause is how long a target that stops waits before it closes the connection, so that
// the first bytes are read before the end is.
const cutPause = 2 * time.Millisecond

// cutEnds are the ways in which a target ends the connection of a response that it cut off.
var cutEnds = []struct {
	name string
	end  func(c net.Conn, n int64, r *http.Request)
}{
	{"closed", closeConn},
	{"closed later", later(closeConn)},
	{"reset", reset},
	{"reset later", later(reset)},
}

func closeConn(c net.Conn, _ int64, _ *http.Request) { _ = c.Close() }

func later(end func(net.Conn, int64, *http.Request)) func(net.Conn, int64, *http.Request) {
	return func(c net.Conn, n int64, r *http.Request) {
		time.Sleep(cutPause)
		end(c, n, r)
	}
}

// TestCutOff compares, for responses that end with their connection after each of their
// bytes, up to which of them the attempt failed, with the golden file. It guards against a
// response that stopped in the middle of its head or body and reached the caller as whole.
// Only a body without a length ends where its connection is closed, though not where it is
// reset.
func TestCutOff(t *testing.T) {
	var out bytes.Buffer
	for _, unframed := range []bool{false, true} {
		d := handler.NewDialect(handler.DialectSpec{Timeout: "Timeout-Ms", Unframed: unframed})
		for _, c := range cutResponses {
			fmt.Fprintf(&out, "unframed=%v, %s, head of %d and body of %d bytes:\n", unframed, c.name, len(c.head), len(c.body))
			results := make([]string, len(cutEnds))
			var group sync.WaitGroup
			for i, end := range cutEnds {
				group.Go(func() { results[i] = cutEverywhere(t, d, c.head+c.body, end.end) })
			}
			group.Wait()
			for i, end := range cutEnds {
				fmt.Fprintf(&out, "  %s: %s\n", end.name, results[i])
			}
		}
	}
	goldie.New(t).Assert(t, "cut_off", out.Bytes())
}

// cutEverywhere returns the results of the attempts whose response is cut off after 0, 1 and
// so on bytes, as ranges of equal ones.
func cutEverywhere(t *testing.T, d *handler.Dialect, text string, end func(net.Conn, int64, *http.Request)) string {
	t.Helper()
	var cut atomic.Int64
	f := startTarget(t, func(c net.Conn, n int64, r *http.Request) {
		_, _ = io.WriteString(c, text[:cut.Load()])
		end(c, n, r)
	})
	f.silent = true
	s := timer.NewService()
	tr := forwarder.NewTransport(s, d, reserver.New(testMemory), func(*manifester.Target) int { return 4 })
	var results []string
	for n := range len(text) + 1 {
		cut.Store(int64(n))
		results = append(results, describeCut(do(context.Background(), tr, s, attemptSpec{address: f.address})))
	}

	return strings.Join(ranges(results), ", ")
}

// ranges returns the ranges of equal results, each with the first and last index.
func ranges(results []string) []string {
	var list []string
	for first := 0; first < len(results); {
		last := first
		for last+1 < len(results) && results[last+1] == results[first] {
			last++
		}
		list = append(list, fmt.Sprintf("%d-%d %s", first, last, results[first]))
		first = last + 1
	}

	return list
}

// describeCut returns the fault of the attempt, or how much of its body a response has.
func describeCut(a *handler.Attempt) string {
	switch {
	case a.Err() != nil:
		return string(a.Fault())
	case string(a.Response().Body()) == cutBody || a.Status() == http.StatusNoContent:
		return "whole"
	default:
		return "as far as it came"
	}
}
