package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
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

// TestNotices compares what targets state about themselves in responses with the golden
// file, in a dialect that has a field for each statement.
func TestNotices(t *testing.T) {
	d := handler.NewDialect(handler.DialectSpec{
		Timeout:    "Timeout-Ms",
		NotRun:     "Not-Run",
		Leaving:    "Leaving",
		RetryAfter: "Retry-After",
	})
	inAnHour := time.Now().Add(time.Hour).UTC().Format(http.TimeFormat)
	var out bytes.Buffer
	for _, c := range []struct{ name, head string }{
		{"nothing", "200 OK"},
		{"leaving", "200 OK\r\nLeaving: 1"},
		{"leaving, with a failure", "500 Failed\r\nLeaving: 1"},
		{"leaving, refused", "503 Full\r\nNot-Run: 1\r\nLeaving: 1"},
		{"leaving: 0", "200 OK\r\nLeaving: 0"},
		{"another target leaves", "421 Misdirected\r\nLeaving: 1"},
		{"seconds", "503 Full\r\nNot-Run: 1\r\nRetry-After: 2"},
		{"fraction", "503 Full\r\nNot-Run: 1\r\nRetry-After: 0.25"},
		{"a 503 that may have run", "503 Full\r\nRetry-After: 2"},
		{"another status", "429 Full\r\nRetry-After: 2"},
		{"date", "503 Full\r\nRetry-After: " + inAnHour},
		{"past date", "503 Full\r\nRetry-After: Mon, 02 Jan 2006 15:04:05 GMT"},
		{"too long", "503 Full\r\nRetry-After: 99999999999999999999"},
		{"out of range", "503 Full\r\nRetry-After: 1e999"},
		{"infinite", "503 Full\r\nRetry-After: inf"},
		{"not a number", "503 Full\r\nRetry-After: nan"},
		{"negative", "503 Full\r\nRetry-After: -3"},
		{"a word", "503 Full\r\nRetry-After: soon"},
	} {
		f := startTarget(t, respond("HTTP/1.1 "+c.head+"\r\nContent-Length: 0\r\n\r\n"))
		s := timer.NewService()
		tr := forwarder.NewTransport(s, d, reserver.New(testMemory), func(*manifester.Target) int { return 1 })
		a := do(context.Background(), tr, s, attemptSpec{address: f.address, idempotent: true})
		fmt.Fprintf(&out, "%s: %s leaving=%v retryAfter=%v\n", c.name, describe(a), a.Leaving(), a.RetryAfter())
	}
	goldie.New(t).Assert(t, "notices", out.Bytes())
}
