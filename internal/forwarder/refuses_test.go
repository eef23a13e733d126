package forwarder

import (
	"context"
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// TestRefuses checks what errors of new connections show about a target. A connection that
// is reset while it is opened shows nothing: the next one decides.
func TestRefuses(t *testing.T) {
	for _, c := range []struct {
		name   string
		errors []error
		want   bool
	}{
		{"refused", []error{unix.ECONNREFUSED}, true},
		{"reset while the listener is closed, then refused", []error{unix.ECONNRESET, unix.ECONNRESET, unix.ECONNREFUSED}, true},
		{"aborted, then refused", []error{unix.ECONNABORTED, unix.ECONNREFUSED}, true},
		{"always reset", []error{unix.ECONNRESET}, false},
		{"not reachable", []error{unix.EHOSTUNREACH}, false},
		{"reset, then not reachable", []error{unix.ECONNRESET, unix.ENETUNREACH}, false},
	} {
		n := 0
		got := refuses(t.Context(), func(context.Context) (net.Conn, error) {
			err := c.errors[min(n, len(c.errors)-1)]
			n++

			return nil, &net.OpError{Op: "dial", Err: err}
		})
		if got != c.want {
			t.Errorf("%s: got %v after %d connections, want %v", c.name, got, n, c.want)
		}
	}
}
