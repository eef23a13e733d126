// Package dialer opens connections that notice a peer which went away without a
// word: by unacknowledged bytes while there are some, by keepalive else.
package dialer

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Spec lists the times of a dialer.
type Spec struct {
	// Timeout bounds the opening of a connection.
	Timeout time.Duration
	// UserTimeout bounds how long sent bytes may stay without acknowledgement.
	UserTimeout time.Duration
	// Idle is the silence after which the peer is probed, Interval the time
	// between two probes, and Probes the number of probes without an answer
	// after which the connection ends.
	Idle     time.Duration
	Interval time.Duration
	Probes   int
}

// New returns a dialer.
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
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})

	return errors.Wrap(errors.CombineErrors(err, failed), "setting the time-out of sent bytes")
}
