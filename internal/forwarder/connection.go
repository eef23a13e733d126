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

// connection is one open connection to a target; it carries one request at a
// time.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleSince is when the last answer had been read.
	idleSince timer.Instant
	// reused is set once the connection has carried a request.
	reused bool
	// clean is set while no byte of a request or an answer is under way.
	clean bool
	// written counts the bytes of the present request that the kernel took.
	written atomic.Int64
}

func newConnection(conn net.Conn) *connection {
	c := &connection{
		conn:   conn,
		reader: bufio.NewReaderSize(conn, bufferBytes),
		clean:  true,
	}
	c.writer = bufio.NewWriterSize(c, bufferBytes)

	return c
}

// Write sends bytes of a request and counts those that the kernel took.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.conn.Write(p)
	c.written.Add(int64(n))

	return n, err //nolint:wrapcheck // Implements io.Writer.
}

// begin bounds all that follows on the connection by the time left.
func (c *connection) begin(left time.Duration) {
	c.clean = false
	_ = c.conn.SetDeadline(time.Now().Add(left)) // A closed connection fails at the next write.
}

// awaitAnswer waits for the first byte of an answer.
func (c *connection) awaitAnswer(wait time.Duration) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(wait)) // A closed connection fails at the read.
	_, err := c.reader.Peek(1)

	return errors.Wrap(err, "waiting for the answer")
}

// finished marks the connection as ready for another request.
func (c *connection) finished() {
	c.clean = true
}

// usable reports whether the connection may carry another request.
func (c *connection) usable() bool { return c.clean }

// sent returns how many bytes of the present request the kernel took.
func (c *connection) sent() int64 { return c.written.Load() }

// kill closes the connection under a running request.
func (c *connection) kill() {
	_ = c.conn.Close() // The reader reports the end.
}

// idleState is what a look at an idle connection found.
type idleState int

const (
	// idleOpen means that the connection is open and no byte has come on it.
	idleOpen idleState = iota
	// idleEnded means that the target closed the connection.
	idleEnded
	// idleBytes means that bytes came which belong to no request.
	idleBytes
)

// look reports the state of an idle connection without taking a byte from it.
func (c *connection) look() idleState {
	if c.reader.Buffered() > 0 {
		return idleBytes
	}
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok {
		return idleEnded
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return idleEnded
	}
	state := idleEnded
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(e, unix.EAGAIN):
			state = idleOpen
		case e == nil && n > 0:
			state = idleBytes
		}

		return true
	})
	if err != nil {
		return idleEnded
	}

	return state
}
