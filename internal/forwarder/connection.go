package forwarder

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// connection is an open connection to a target. It carries one request at a time.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleSince is the instant at which the connection became idle.
	idleSince timer.Instant
	// reused is set once the connection has carried a request.
	reused bool
	// atMessageBoundary is set before the first request, and after each response
	// that was read to its end and permits another request.
	atMessageBoundary bool
	// requestID is the caller's id of the last request; "" where it has none.
	requestID string
	// written counts the bytes of the current request that the kernel accepted.
	written atomic.Int64
}

func newConnection(conn net.Conn) *connection {
	c := &connection{
		conn:              conn,
		reader:            bufio.NewReaderSize(conn, bufferBytes),
		atMessageBoundary: true,
	}
	c.writer = bufio.NewWriterSize(c, bufferBytes)

	return c
}

// Write sends bytes of a request and counts those that the kernel accepted.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.conn.Write(p)
	c.written.Add(int64(n))

	return n, err //nolint:wrapcheck // Implements io.Writer.
}

// begin marks the connection as in use and limits all I/O on it to the time left.
func (c *connection) begin(left time.Duration) {
	c.atMessageBoundary = false
	_ = c.conn.SetDeadline(time.Now().Add(left)) // A closed connection fails at the next write.
}

// awaitResponse waits for the first byte of a response.
func (c *connection) awaitResponse(wait time.Duration) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(wait)) // A closed connection fails at the read.
	_, err := c.reader.Peek(1)

	return errors.Wrap(err, "waiting for the response")
}

// finish marks the connection as ready for another request.
func (c *connection) finish() {
	c.atMessageBoundary = true
}

// usable reports whether the connection may carry another request.
func (c *connection) usable() bool { return c.atMessageBoundary }

// sent returns how many bytes of the current request the kernel accepted.
func (c *connection) sent() int64 { return c.written.Load() }

// abort closes the connection. It may be called while a request is in progress.
func (c *connection) abort() {
	_ = c.conn.Close() // A read or write in progress returns an error.
}

// idleState is the state of an idle connection.
type idleState int

const (
	// idleOpen means that the connection is open and has received no bytes.
	idleOpen idleState = iota
	// idleClosed means that the connection is closed or cannot be examined.
	idleClosed
	// idleUnexpectedData means that bytes arrived that belong to no request.
	idleUnexpectedData
)

// checkIdle returns the state of an idle connection without consuming any byte.
func (c *connection) checkIdle() idleState {
	if c.reader.Buffered() > 0 {
		return idleUnexpectedData
	}
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok {
		return idleClosed
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return idleClosed
	}
	state := idleClosed
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(e, unix.EAGAIN):
			state = idleOpen
		case e == nil && n > 0:
			state = idleUnexpectedData
		}

		return true
	})
	if err != nil {
		return idleClosed
	}

	return state
}
