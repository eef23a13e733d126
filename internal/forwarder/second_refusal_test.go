package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/forwarder"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/reserver"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// TestSecondRefusal checks that a second copy of a refusal, which arrives once the connection
// carries the next request, never makes that request count as one that did not run. It
// guards against a request that is repeated, or reported as not run, while its target runs it.
func TestSecondRefusal(t *testing.T) {
	d := handler.NewDialect(handler.DialectSpec{
		Timeout:   "Timeout-Ms",
		RequestID: "Request-Id",
		NotRun:    "Not-Run",
	})
	// The second copy comes once the next request has arrived, and the response to that one
	// later.
	const work = 100 * time.Millisecond
	var out bytes.Buffer
	for _, c := range []struct {
		name   string
		status string
		// echoed is set if the refusal repeats the id of its request.
		echoed bool
		// ids are those of the two requests.
		ids [2]string
	}{
		{"shed, without an id", "503 Full\r\nNot-Run: 1", false, [2]string{"one", "two"}},
		{"shed, with its id", "503 Full\r\nNot-Run: 1", true, [2]string{"one", "two"}},
		{"misdirected, without an id", "421 Misdirected", false, [2]string{"one", "two"}},
		{"a response without an id", "200 OK", false, [2]string{"one", "two"}},
		{"shed, both requests with the same id", "503 Full\r\nNot-Run: 1", true, [2]string{"one", "one"}},
		{"shed, requests without an id", "503 Full\r\nNot-Run: 1", true, [2]string{}},
	} {
		ran := make(chan string, 1)
		var refused net.Conn
		refusal := "HTTP/1.1 " + c.status + "\r\n"
		if c.echoed {
			refusal += "Request-Id: " + c.ids[0] + "\r\n"
		}
		refusal += "Content-Length: 0\r\n\r\n"
		f := startTarget(t, func(conn net.Conn, n int64, r *http.Request) {
			if n > 1 {
				if conn == refused {
					_, _ = io.WriteString(conn, refusal)
				}
				time.Sleep(work)
				ran <- r.Header.Get("Token")
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Request-Id"))

				return
			}
			refused = conn
			_, _ = io.WriteString(conn, refusal)
		})
		f.silent = true
		s := timer.NewService()
		tr := forwarder.NewTransport(s, d, reserver.New(testMemory), func(*manifester.Target) int { return 1 })
		fmt.Fprintf(&out, "%s\n", c.name)
		for i, id := range c.ids {
			x := newExchange(s, attemptSpec{address: f.address, idempotent: true, token: fmt.Sprint(i)})
			if id != "" {
				x.Request().Fields().Add("Request-Id", id)
			}
			a := tr.Do(context.Background(), x)
			fmt.Fprintf(&out, "  request %d: %s reused=%v mayHaveRun=%v\n", i, describe(a), a.Reused(), a.MayHaveRun())
		}
		fmt.Fprintf(&out, "  ran: request %s\n", <-ran)
	}
	goldie.New(t).Assert(t, "second_refusal", out.Bytes())
}
