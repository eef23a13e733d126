package forwarder

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonkeel/lagoonkeel/internal/recoverer"
)

// resetWait bounds the wait for a reset after the end of a response. A target that closes the
// connection instead of reading on resets it within a round trip.
const resetWait = 200 * time.Millisecond

// requestWriter writes one request. A request with a large body is written while its
// response is awaited, because the target may respond before it has read the body.
type requestWriter struct {
	conn *connection
	// done is closed after the last write; err is set before that.
	done chan struct{}
	err  error
}

// startWriting writes the request. It returns before the end of a request with a large
// body; wait must be called before the request is released.
func startWriting(c *connection, req *fasthttp.Request) *requestWriter {
	w := &requestWriter{
		conn: c,
		done: make(chan struct{}),
	}
	if len(req.Body()) <= bufferBytes {
		w.write(req)
	} else {
		go w.write(req)
	}

	return w
}

func (w *requestWriter) write(req *fasthttp.Request) {
	defer close(w.done)
	w.err = recoverer.Do(func() error {
		if err := req.Write(w.conn.writer); err != nil {
			return errors.Wrap(err, "writing the request")
		}

		return errors.Wrap(w.conn.writer.Flush(), "sending the request")
	})
}

// awaitResponse waits for the first byte of the response. After a failure to write a
// small request it does not wait. The target of a large one may have responded before it
// closed the connection; if it did not, the error is that of the write.
func (w *requestWriter) awaitResponse(wait time.Duration) error {
	if w.ended() && w.err != nil {
		return w.err
	}
	err := w.conn.awaitResponse(wait)
	if err != nil && w.ended() && w.err != nil {
		return w.err
	}

	return err
}

// ended reports whether nothing is written any more.
func (w *requestWriter) ended() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// written reports whether the whole request was written.
func (w *requestWriter) written() bool { return w.ended() && w.err == nil }

// confirmEnd returns an error if the connection failed while the request was written. It is
// called once a read returned io.EOF, which alone does not show that the target closed the
// connection: the kernel reports a reset only to the first call that meets it, a write or a
// read, and to later reads an ordinary end. confirmEnd therefore waits until the write ends,
// for resetWait or the time left at most; a target that closed only its own direction may read
// for longer, or leave the rest unread.
func (w *requestWriter) confirmEnd(left time.Duration) error {
	_ = w.conn.conn.SetWriteDeadline(time.Now().Add(min(left, resetWait))) // A closed connection fails at the next write.
	<-w.done
	if errors.Is(w.err, os.ErrDeadlineExceeded) {
		return nil
	}

	return w.err
}

// wait returns once nothing is written any more. It closes the connection if the request
// is not written to its end by then, because the target must not take the bytes of
// another request for the rest of this one.
func (w *requestWriter) wait() {
	if !w.ended() {
		w.conn.abort()
	}
	<-w.done
}
