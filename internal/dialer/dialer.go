// Package dialer opens TCP connections that detect a peer which has become unreachable
// without closing the connection. While sent bytes are not acknowledged,
// TCP_USER_TIMEOUT detects it; on an idle connection, keepalive probes do.
package dialer

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Spec lists the timeouts and the keepalive settings of a dialer.
type Spec struct {
	// Timeout bounds how long opening a connection may take.
	Timeout time.Duration
	// UserTimeout bounds how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT,
	// in whole milliseconds).
	UserTimeout time.Duration
	// Idle is the time without traffic after which keepalive probes are sent, Interval
	// the time between two probes, and Probes the number of unanswered probes after
	// which the connection is closed.
	Idle     time.Duration
	Interval time.Duration
	Probes   int
}

// New returns a dialer with the settings.
func New(s Spec) *net.Dialer {
	return &net.Dialer{
		Timeout: s.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     s.Idle,
			Interval: s.Interval,
			Count:    s.Probes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, s.UserTimeout)
		},
	}
}

func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})

	return errors.Wrap(errors.CombineErrors(err, optionErr), "setting TCP_USER_TIMEOUT")
}
