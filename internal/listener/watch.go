package listener

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// watcher cancels the context of a request if its caller closes the connection
// before the response. A caller that closes only its sending side counts as
// disconnected too, as in net/http.
type watcher struct {
	conn   *net.TCPConn
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
	ctx, cancel := context.WithCancel(base)
	w := &watcher{
		conn:   caller.TCPConn,
		cancel: cancel,
		done:   make(chan struct{}),
	}
	go w.run()

	return ctx, w
}

// run waits for the end of the connection or for bytes of the next request, which it
// does not consume.
func (w *watcher) run() {
	defer close(w.done)
	raw, err := w.conn.SyscallConn()
	if err != nil {
		return
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if errors.Is(e, unix.EAGAIN) || errors.Is(e, unix.EINTR) {
			return false
		}
		closed = e != nil || n == 0

		return true
	})
	if err == nil && closed {
		w.cancel()
	}
}

// stop ends run, so that the connection can be read again, and cancels the context.
func (w *watcher) stop() {
	if w == nil {
		return
	}
	_ = w.conn.SetReadDeadline(time.Unix(1, 0)) // On a closed connection, run ends without it.
	<-w.done
	_ = w.conn.SetReadDeadline(time.Time{}) // The server sets its own before the next read.
	w.cancel()
}
