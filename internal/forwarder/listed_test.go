package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/forwarder"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/reserver"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// names returns the names of the fields in order.
func names(h http.Header) string {
	var list []string
	for name := range h {
		list = append(list, name)
	}
	slices.Sort(list)

	return strings.Join(list, " ")
}

// TestListedFields compares the fields that reach a target and the caller with the golden
// file, where the Connection field of the request or of the response lists some. It guards
// against a caller that makes its request run without the team of its key, and against a
// response that loses its signature on the way.
func TestListedFields(t *testing.T) {
	d := handler.NewDialect(handler.DialectSpec{
		Timeout:      "Timeout-Ms",
		Team:         "Team",
		RequestID:    "Request-Id",
		Signature:    "Signature",
		ExpectTarget: "Expect-Target",
	})
	var out bytes.Buffer
	for _, listed := range [][]string{
		nil,
		{"close"},
		{"keep-alive, Color"},
		{"Color", "Size"},
		{"Team"},
		{"keep-alive,team , TEAM"},
		{"Request-Id, Signature, Expect-Target, Timeout-Ms"},
		{"keep-alive", "Team, Signature"},
	} {
		received := make(chan http.Header, 1)
		f := startTarget(t, func(c net.Conn, _ int64, r *http.Request) {
			received <- r.Header
			lines := ""
			for _, v := range listed {
				lines += "Connection: " + v + "\r\n"
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sRequest-Id: one\r\nSignature: s\r\nColor: red\r\nSize: 4\r\nContent-Length: 0\r\n\r\n", lines)
		})
		f.silent = true
		s := timer.NewService()
		tr := forwarder.NewTransport(s, d, reserver.New(testMemory), func(*manifester.Target) int { return 1 })
		x := newExchange(s, attemptSpec{address: f.address, token: "x"})
		for _, v := range listed {
			x.Request().Fields().Add("Connection", v)
		}
		x.Request().Fields().Add("Request-Id", "one")
		x.Request().Fields().Add("Color", "red")
		x.Request().Fields().Add("Size", "4")
		x.Request().Fields().Set("Team", "guides")
		a := tr.Do(context.Background(), x)
		fmt.Fprintf(&out, "%q\n  target: %s\n", listed, names(<-received))
		if a.Err() != nil {
			t.Fatal(a.Err())
		}
		fmt.Fprint(&out, "  caller:")
		for _, field := range a.Response().Fields().All() {
			fmt.Fprintf(&out, " %s", field.Name())
		}
		fmt.Fprintln(&out)
	}
	goldie.New(t).Assert(t, "listed", out.Bytes())
}
