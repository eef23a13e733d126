package listener_test

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"

	"github.com/lagoonkeel/lagoonkeel/internal/listener"
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
	l := startSpec(t, listener.Spec{
		Socket: &failingListener{
			TCPListener: tcp,
			failures:    []error{unix.EMFILE, unix.ENFILE, unix.ECONNABORTED, unix.ENOBUFS, unix.ENOMEM},
		},
		Chain:   echo{},
		MaxBody: 64,
	})
	if got := sendRaw(t, l.address, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", true); !strings.Contains(got, "200") {
		t.Errorf("got %q", got)
	}
}
