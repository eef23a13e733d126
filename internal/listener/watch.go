package listener

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// watchBytes is the size of the buffer in which the bytes of further requests are read.
const watchBytes = 2 << 10

// watcher cancels the context of a request if its caller closes the connection
// before the response. A caller that closes only its sending side counts as
// disconnected too, as in net/http. The bytes of further requests are read and kept, as
// the end of the connection shows only after them.
type watcher struct {
	conn   *conn
	cancel context.CancelFunc
	// done is closed when run has returned.
	done chan struct{}
}

// watch returns the context of a request that was received on the connection, and
// the watcher that cancels it. The watcher is nil if the connection cannot be watched.
func watch(base context.Context, c net.Conn) (context.Context, *watcher) {
	caller, ok := c.(*conn)
	if !ok {
		return base, nil
	}
	caller.begin()
	ctx, cancel := context.WithCancel(base)
	w := &watcher{
		conn:   caller,
		cancel: cancel,
		done:   make(chan struct{}),
	}
	if caller.left {
		cancel() // The caller left during an earlier request.
	}
	go w.run()

	return ctx, w
}

// run reads the connection until it ends, stop is called or too many bytes wait.
func (w *watcher) run() {
	defer close(w.done)
	c := w.conn
	for !c.left && len(c.waiting) < maxWaitingBytes {
		var b [watchBytes]byte
		n, err := c.TCPConn.Read(b[:min(watchBytes, maxWaitingBytes-len(c.waiting))])
		c.waiting = append(c.waiting, b[:n]...)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			c.left = true
			w.cancel()
		}
	}
}

// stop ends run, so that the connection can be read again, and cancels the context.
func (w *watcher) stop() {
	if w == nil {
		return
	}
	_ = w.conn.TCPConn.SetReadDeadline(past) // On a closed connection, run ends without it.
	<-w.done
	_ = w.conn.TCPConn.SetReadDeadline(time.Time{}) // The server sets its own before the next read.
	w.cancel()
}
