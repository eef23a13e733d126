package listener

import (
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/reserver"
)

const (
	// smallBodyBytes is the size up to which bodies are handled with the connection's
	// buffers. Larger ones are read and written as streams, in reserved memory.
	smallBodyBytes = 16 << 10
	// fullRetryAfter is the Retry-After of requests that are refused because other
	// bodies hold the memory.
	fullRetryAfter = time.Second
)

// readBody returns the body of the request, and the bytes that it reserved for it. The
// error is a *handler.Refusal; the connection must then be closed, as the rest of the
// body is not read.
func (l *Listener) readBody(c *fasthttp.RequestCtx) (body []byte, reserved int64, err error) {
	if !c.Request.IsBodyStream() {
		return append([]byte(nil), c.Request.Body()...), 0, nil
	}
	limit := l.limits.maxBodyBytes()
	length := max(c.Request.Header.ContentLength(), reserver.UnknownLength)
	body, reserved, err = l.memory.ReadBody(c.RequestBodyStream(), length, limit)
	if err == nil {
		return body, reserved, nil
	}
	l.memory.Release(reserved)

	return nil, 0, bodyRefusal(err, limit)
}

// bodyRefusal returns the refusal of a request whose body could not be read.
func bodyRefusal(err error, limit int) *handler.Refusal {
	var network net.Error
	switch {
	case errors.Is(err, reserver.ErrTooLarge):
		return handler.NewRefusal(handler.CodeTooLarge, fmt.Sprintf("the body is larger than %d bytes", limit))
	case errors.Is(err, reserver.ErrNoMemory):
		return handler.NewRefusal(handler.CodeOverload, "the VM holds too many large bodies").WithRetryAfter(fullRetryAfter)
	case errors.As(err, &network) && network.Timeout():
		return handler.NewRefusal(handler.CodeSlowRequest, "the request did not arrive in time")
	default:
		return handler.NewRefusal(handler.CodeBadRequest, "the request could not be read")
	}
}

// reservedBody is the body of a response. It releases the memory of the exchange once the
// response was written, or could not be.
type reservedBody struct {
	io.Reader
	memory   *reserver.Reserver
	reserved int64
}

// Close releases the memory.
func (b *reservedBody) Close() error {
	b.memory.Release(b.reserved)
	b.reserved = 0

	return nil
}
