package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/forwarder"
	"github.com/lagoonkeel/lagoonkeel/internal/reserver"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// An early response has no length and begins before the request's body was read.
const earlyResponse = "HTTP/1.1 200 OK\r\nSignature: s\r\n\r\nearly"

const (
	// earlyPause is how long a target waits between the parts of what it does, so that each
	// reaches the VM by itself.
	earlyPause = 5 * time.Millisecond
	// lingerPause is how long a target leaves a connection open after the end of its response
	// without reading the body. It is far longer than the VM waits for a reset.
	lingerPause = 3 * time.Second
	// earlyRounds is how often each end is tried: which thread of the VM learns of a reset
	// first is left to chance. earlyTogether of them run at once.
	earlyRounds   = 60
	earlyTogether = 6
)

// earlyEnds are the ways in which a target ends the connection of an early response.
var earlyEnds = []struct {
	name string
	end  func(c *net.TCPConn)
}{
	{"reset at once", resetConn},
	{"reset after a pause", func(c *net.TCPConn) {
		time.Sleep(earlyPause)
		resetConn(c)
	}},
	{"reset while it reads the body", func(c *net.TCPConn) {
		_, _ = io.CopyN(io.Discard, c, int64(len(largeBody)/2))
		resetConn(c)
	}},
	{"closed with the body unread", func(c *net.TCPConn) {
		time.Sleep(earlyPause)
		_ = c.Close() // The kernel sends a reset, as bytes were not read.
	}},
	{"half closed, then reset", func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.CloseWrite()
		_ = c.Close()
	}},
	{"half closed, then the body is read", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}},
	{"half closed for a while", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(lingerPause)
	}},
	{"closed once the body was read", func(c *net.TCPConn) {
		_, _ = io.CopyN(io.Discard, c, int64(len(largeBody)))
		_ = c.Close()
	}},
}

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// startEarlyEnd starts a target that sends an early response to each request and then ends
// the connection.
func startEarlyEnd(t *testing.T, end func(c *net.TCPConn)) string {
	t.Helper()

	return accept(t, func(c net.Conn) {
		defer c.Close()
		if tcp, ok := c.(*net.TCPConn); ok && readHead(c) {
			_, _ = io.WriteString(c, earlyResponse)
			end(tcp)
		}
	})
}

// TestEarlyEnd sends large bodies to targets that respond early, without a length, and
// compares which ends of the connection make the response count as whole, with the golden
// file. It guards against a response that was reset while the request was still being
// written and reached the caller as whole.
func TestEarlyEnd(t *testing.T) {
	var out bytes.Buffer
	for _, c := range earlyEnds {
		address := startEarlyEnd(t, c.end)
		s := timer.NewService()
		tr := forwarder.NewTransport(s, signedDialect(), reserver.New(testMemory), func(*manifester.Target) int { return earlyTogether })
		results := make([]string, earlyRounds)
		var group sync.WaitGroup
		running := make(chan struct{}, earlyTogether)
		for i := range results {
			running <- struct{}{}
			group.Go(func() {
				defer func() { <-running }()
				results[i] = "fails"
				a := do(context.Background(), tr, s, attemptSpec{address: address, body: largeBody, timeout: 5 * time.Second})
				if a.Err() == nil {
					results[i] = describe(a)
				}
			})
		}
		group.Wait()
		slices.Sort(results)
		fmt.Fprintf(&out, "%s: %q\n", c.name, slices.Compact(results))
	}
	goldie.New(t).Assert(t, "early_end", out.Bytes())
}
