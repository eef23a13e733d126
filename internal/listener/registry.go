package listener

import (
	"context"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// lastAcceptTime is how long connections that wait to be accepted are still accepted
	// once the listener stops.
	lastAcceptTime = 20 * time.Millisecond
	// acceptPause follows an error that passes, such as that of too many open files.
	acceptPause = 50 * time.Millisecond
)

// limitedListener accepts connections to which the limits in force apply.
type limitedListener struct {
	net.Listener
	limits      *effectiveLimits
	connections *registry
	// ended is closed when Accept has returned an error.
	ended     chan struct{}
	endedOnce sync.Once
}

// Accept returns the next connection. It waits while none can be accepted because of an
// error that passes.
func (l *limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	for err != nil && passes(err) {
		time.Sleep(acceptPause)
		c, err = l.Listener.Accept()
	}
	if err != nil {
		l.endedOnce.Do(func() { close(l.ended) })
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = net.ErrClosed // Only stop sets a deadline.
		}

		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}

	return l.connections.add(newConn(tcp, l.limits, l.connections)), nil
}

// passes reports whether connections can be accepted again later.
func passes(err error) bool {
	for _, e := range []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}

	return false
}

// stop accepts the connections that wait to be accepted and closes the socket, so that
// the callers of these connections are not cut off.
func (l *limitedListener) stop() error {
	if d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); ok && d.SetDeadline(time.Now().Add(lastAcceptTime)) == nil {
		<-l.ended
	}

	return errors.Wrap(l.Close(), "closing the socket")
}

// registry holds the open connections of a listener. It is safe for concurrent use.
type registry struct {
	mu   sync.Mutex
	open map[*conn]struct{}
	// expired is set by expire.
	expired bool
	// empty is closed when no connection is open after expire.
	empty chan struct{}
}

func newRegistry() *registry {
	return &registry{
		open:  map[*conn]struct{}{},
		empty: make(chan struct{}),
	}
}

// add adds a connection and returns it.
func (r *registry) add(c *conn) *conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[c] = struct{}{}

	return c
}

// remove removes a connection that was closed. It may be called more than once.
func (r *registry) remove(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.open[c]; !ok {
		return
	}
	delete(r.open, c)
	r.checkEmpty()
}

// checkEmpty closes empty if that is due; the lock must be held.
func (r *registry) checkEmpty() {
	if r.expired && len(r.open) == 0 {
		close(r.empty)
	}
}

// expire makes every connection close that waits for a request of which no byte has
// arrived, and every other one after its present request. It must be called once, after
// the last call of add.
func (r *registry) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expired = true
	for c := range r.open {
		c.expire()
	}
	r.checkEmpty()
}

// openError reports connections that were still open when the time to close them had
// passed.
type openError struct {
	count int
}

// Error implements error.
func (e *openError) Error() string {
	return strconv.Itoa(e.count) + " connections were still open; the grace period is too short for their requests"
}

// wait returns once no connection is open. It returns an *openError if ctx ends first.
func (r *registry) wait(ctx context.Context) error {
	select {
	case <-r.empty:
		return nil
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()

	return &openError{
		count: len(r.open),
	}
}
