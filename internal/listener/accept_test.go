package listener_test

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/listener"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/reserver"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// failingListener fails to accept connections at first.
type failingListener struct {
	*net.TCPListener

	// failures are the errors of the first calls.
	failures []error
	calls    atomic.Int64
}

// Accept fails or returns the next connection.
func (f *failingListener) Accept() (net.Conn, error) {
	if n := int(f.calls.Add(1)); n <= len(f.failures) {
		return nil, &net.OpError{Op: "accept", Err: f.failures[n-1]}
	}

	return f.TCPListener.Accept()
}

// TestAcceptFails checks that a listener serves callers after connections could not be
// accepted for a while, for instance because the process had too many open files.
func TestAcceptFails(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		t.Fatalf("got a %T", ln)
	}
	limits := &variableLimits{}
	limits.set(manifester.LimitsSpec{})
	l := listener.New(listener.Spec{
		Socket: &failingListener{
			TCPListener: tcp,
			failures:    []error{unix.EMFILE, unix.ENFILE, unix.ECONNABORTED, unix.ENOBUFS, unix.ENOMEM},
		},
		Chain:   echo{},
		MaxBody: 64,
		Memory:  reserver.New(1 << 30),
		Limits:  limits,
		Dialect: handler.DefaultDialect(),
		Clock:   timer.NewService(),
		Logger:  logger.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	if got := sendRaw(t, ln.Addr().String(), "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", true); !strings.Contains(got, "200") {
		t.Errorf("got %q", got)
	}
	cancel()
	if err := <-done; err != nil {
		t.Errorf("the listener stopped with %v", err)
	}
}
