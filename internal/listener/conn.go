package listener

import (
	"bytes"
	"cmp"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

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

const (
	// maxWaitingBytes bounds the bytes of further requests that are read from a
	// connection while a request is handled. More of them stay in the socket.
	maxWaitingBytes = 64 << 10
	// lingerTime and lingerBytes bound how long, and how much, is read and discarded
	// from a connection after its last response. Closing a connection with unread bytes
	// resets it, which may destroy the response on its way to the caller.
	lingerTime  = time.Second
	lingerBytes = 1 << 20
)

// conn is a caller's connection. At any time, either the server reads it or the watcher
// of its present request does.
type conn struct {
	*net.TCPConn
	limits   *effectiveLimits
	registry *registry
	// waiting holds bytes that were read from the socket but not yet by the server: those
	// of further requests, of which the watcher reads up to maxWaitingBytes.
	waiting []byte
	// lastBytes holds the last bytes that the server has read, up to three, in an array of
	// twice that size.
	lastBytes []byte
	// left is set once the watcher has found that the caller closed the connection.
	left bool
	// answered is set while the last thing that happened on the connection is that a
	// response was written.
	answered atomic.Bool
	// mu guards what follows.
	mu sync.Mutex
	// begun is set from the first byte of a request until the wait for the next one.
	begun bool
	// idle is set while the server waits for a request of which no byte has arrived.
	// idleSince is when the wait between two requests began, or zero outside one.
	idle      bool
	idleSince time.Time
	// expired is set once the connection is to close when it is idle.
	expired bool
}

func newConn(c *net.TCPConn, l *effectiveLimits, r *registry) *conn {
	return &conn{
		TCPConn:  c,
		limits:   l,
		registry: r,
	}
}

// SetReadDeadline sets the read deadline. It computes the deadline from the limit in
// force if t results from a placeholder.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
	switch left := time.Until(t); {
	case t.IsZero() || left < minTimeoutMarker:
		c.idle = false
	case left > readTimeoutMarker:
		c.begun = false
		c.idle = len(c.waiting) == 0
		c.answered.Store(false)
		c.idleSince = time.Now()
		t = c.idleSince.Add(c.limits.idleTimeout())
	default:
		c.idle = !c.begun && len(c.waiting) == 0
		t = time.Now().Add(c.limits.headerTimeout())
	}
	if c.idle && c.expired {
		t = past
	}

	return c.TCPConn.SetReadDeadline(t) //nolint:wrapcheck // The server compares it.
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// expire makes the connection close now if it is idle, and otherwise when it becomes idle.
func (c *conn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expired = true
	if c.idle {
		_ = c.TCPConn.SetReadDeadline(past) // Fails only once the connection is closed.
	}
}

// begin ends the wait for a request, so that expire leaves the connection alone.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	_ = c.TCPConn.SetReadDeadline(time.Time{}) // A closed connection fails at the next read.
}

// Read reads from the connection, and not beyond the end of a header: a connection on which
// bytes of a further request wait is not idle.
func (c *conn) Read(b []byte) (int, error) {
	if c.left {
		return 0, io.EOF // The caller does not wait for responses to its further requests.
	}
	if len(c.waiting) > 0 {
		n := c.keepRest(b[:copy(b, c.waiting)])
		c.waiting = c.waiting[n:]

		return n, nil
	}
	n, err := c.readSocket(b)
	end := c.keepRest(b[:n])
	c.waiting = append(c.waiting, b[end:n]...)

	return end, err
}

// headerEnd is the end of a header.
const headerEnd = "\r\n\r\n"

// keepRest returns how many of the bytes the server gets now: those up to the end of the
// first header that ends among them, or all.
func (c *conn) keepRest(b []byte) int {
	seam := append(c.lastBytes, b[:min(len(b), len(headerEnd)-1)]...) //nolint:gocritic // The array has room for both.
	n := len(b)
	if i := bytes.Index(seam, []byte(headerEnd)); i >= 0 {
		n = i + len(headerEnd) - len(c.lastBytes)
	} else if i := bytes.Index(b, []byte(headerEnd)); i >= 0 {
		n = i + len(headerEnd)
	}
	c.remember(b[:n])

	return n
}

// remember keeps the last bytes that the server gets, in which the end of a header may
// have begun.
func (c *conn) remember(b []byte) {
	const room = 2 * (len(headerEnd) - 1)
	if c.lastBytes == nil {
		c.lastBytes = make([]byte, 0, room)
	}
	if len(b) < len(headerEnd)-1 {
		b = append(c.lastBytes, b...)
	}
	kept := b[max(0, len(b)-len(headerEnd)+1):]
	c.lastBytes = c.lastBytes[:copy(c.lastBytes[:len(headerEnd)-1], kept)]
}

// readSocket reads from the socket. If the idle timeout was raised while the connection
// waits for a request, it continues to wait. It returns io.EOF if the connection expires
// before the first byte of a request.
func (c *conn) readSocket(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if n > 0 {
			c.received()

			return n, err //nolint:wrapcheck // The server compares it.
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err //nolint:wrapcheck // The server compares it.
		}
		switch c.afterTimeout() {
		case readAgain:
		case closeSilently:
			return 0, io.EOF
		case timedOut:
			return n, err //nolint:wrapcheck // The server compares it.
		}
	}
}

// received records that a byte of a request has arrived.
func (c *conn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = true
	c.idle = false
	c.answered.Store(false)
}

// timeoutAction is what follows when the read deadline has passed.
type timeoutAction int

const (
	// timedOut means that the caller took too long.
	timedOut timeoutAction = iota
	// readAgain means that a later deadline was set.
	readAgain
	// closeSilently means that the connection expired before the first byte of a
	// request.
	closeSilently
)

// afterTimeout decides what follows when the read deadline has passed. The request whose
// first bytes have arrived when the connection expires is still served.
func (c *conn) afterTimeout() timeoutAction {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.idleSince.Add(c.limits.idleTimeout())
	switch {
	case c.expired && c.idle && !hasBytes(c.TCPConn):
		return closeSilently
	case c.expired && c.idle:
		c.idle = false
		until = time.Now().Add(c.limits.headerTimeout())
	case c.idleSince.IsZero() || !time.Now().Before(until):
		return timedOut
	}
	if c.TCPConn.SetReadDeadline(until) != nil {
		return timedOut
	}

	return readAgain
}

// hasBytes reports whether bytes wait to be read, without reading them.
func hasBytes(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	found := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		found = e == nil && n > 0
	})

	return err == nil && found
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (int, error) {
	c.answered.Store(true)

	return c.TCPConn.Write(b) //nolint:wrapcheck // The server compares it.
}

// Close closes the connection. After a response, the caller learns of the end at once,
// and what it still sends is discarded for a while.
func (c *conn) Close() error {
	if !c.answered.Load() || c.left || c.CloseWrite() != nil {
		return c.closeNow()
	}
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime)) // A closed connection fails at the read.
	go func() {
		_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes) // Ends with the caller's last byte or the deadline.
		_ = c.closeNow()                                    // The server has no use for the error any more.
	}()

	return nil
}

func (c *conn) closeNow() error {
	defer c.registry.remove(c)

	return c.TCPConn.Close() //nolint:wrapcheck // The server compares it.
}
