package listener

import (
	"cmp"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// readTimeoutMarker and idleTimeoutMarker are placeholders for the timeouts of
	// reading a request and of waiting for one. The server's timeouts cannot change
	// while it runs, so conn replaces the placeholders by the limits in force. It
	// uses timeouts below minTimeoutMarker as they are.
	readTimeoutMarker = 2 * time.Hour
	idleTimeoutMarker = 4 * time.Hour
	minTimeoutMarker  = time.Hour
)

// limitSource provides the configured limits, which may change at any time.
type limitSource interface {
	Limits() manifester.Limits
}

// effectiveLimits combines the configured limits with the VM's own, which apply where
// the configuration sets none. The VM's own limits on sizes are also upper bounds.
type effectiveLimits struct {
	source limitSource
	// ownMaxBodyBytes is the VM's own limit on a body. A higher configured limit has no
	// effect.
	ownMaxBodyBytes int
}

func (l *effectiveLimits) maxHeaderBytes() int {
	return min(cmp.Or(l.source.Limits().Header(), ownMaxHeaderBytes), ownMaxHeaderBytes)
}

func (l *effectiveLimits) maxBodyBytes() int {
	return min(cmp.Or(l.source.Limits().Body(), l.ownMaxBodyBytes), l.ownMaxBodyBytes)
}

func (l *effectiveLimits) headerTimeout() time.Duration {
	return cmp.Or(l.source.Limits().HeaderTime(), defaultHeaderTimeout)
}

func (l *effectiveLimits) idleTimeout() time.Duration {
	return cmp.Or(l.source.Limits().IdleTime(), defaultIdleTimeout)
}

// limitedListener accepts connections to which the limits in force apply.
type limitedListener struct {
	net.Listener
	limits *effectiveLimits
}

// Accept returns the next connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // The server compares it.
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}

	return &conn{
		TCPConn: tcp,
		limits:  l.limits,
	}, nil
}

// conn is a caller's connection. Only the goroutine that reads it may use its
// fields.
type conn struct {
	*net.TCPConn
	limits *effectiveLimits
	// idleSince is when the connection began to wait for a request, or zero if it is
	// not waiting.
	idleSince time.Time
}

// SetReadDeadline sets the read deadline. It computes the deadline from the limit in
// force if t results from a placeholder.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.idleSince = time.Time{}
	switch left := time.Until(t); {
	case t.IsZero() || left < minTimeoutMarker:
	case left > readTimeoutMarker:
		c.idleSince = time.Now()
		t = c.idleSince.Add(c.limits.idleTimeout())
	default:
		t = time.Now().Add(c.limits.headerTimeout())
	}

	return c.TCPConn.SetReadDeadline(t) //nolint:wrapcheck // The server compares it.
}

// Read reads from the connection. If the idle timeout was raised while the connection
// waits for a request, it continues to wait.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.extendIdle() {
			return n, err //nolint:wrapcheck // The server compares it.
		}
	}
}

// extendIdle sets the read deadline of a waiting connection by the idle timeout in
// force. It returns false if that deadline has passed or the connection is not waiting.
func (c *conn) extendIdle() bool {
	until := c.idleSince.Add(c.limits.idleTimeout())

	return !c.idleSince.IsZero() && time.Now().Before(until) && c.TCPConn.SetReadDeadline(until) == nil
}
