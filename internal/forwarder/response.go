package forwarder

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/reserver"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 16 << 20
	// maxHeaderReads bounds the headers that are read for one response: those of
	// 1xx responses and the final one.
	maxHeaderReads = 8
)

// The lengths that fasthttp returns for a body that is chunked or ends with its connection.
const (
	chunkedLength = -1
	unknownLength = -2
)

// responseError reports a response that could not be read, because it ended early,
// has no framing or is not valid HTTP.
type responseError struct {
	cause error
}

// Error implements error.
func (e *responseError) Error() string {
	return "the response could not be read; see the target's log: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *responseError) Unwrap() error { return e.cause }

// unframedError reports a response without a length, whose end is marked only by
// the end of the connection.
type unframedError struct{}

// Error implements error.
func (e *unframedError) Error() string {
	return "the response has neither a Content-Length nor chunked transfer coding, so its end is unknown; make the target send one of them"
}

// interimError reports a 101 response or too many other 1xx responses.
type interimError struct{}

// Error implements error.
func (e *interimError) Error() string {
	return "the target sent 101 or too many 1xx responses; it must send a final status"
}

// readResponse reads the final response and returns its body. The first byte of the
// response is already buffered. The memory for the body is added to what the exchange
// holds, also after an error.
func (t *Transport) readResponse(w *requestWriter, resp *fasthttp.Response, x *handler.Exchange) ([]byte, error) {
	c := w.conn
	if err := readFinalHeader(c.reader, resp); err != nil {
		return nil, err
	}
	if resp.SkipBody || !hasBody(resp.StatusCode()) {
		return nil, nil
	}
	length := resp.Header.ContentLength()
	from := io.Reader(c.reader)
	switch length {
	case chunkedLength:
		from = httputil.NewChunkedReader(c.reader)
	case unknownLength:
		if !t.dialect.Unframed() {
			return nil, &responseError{
				cause: &unframedError{},
			}
		}
		resp.SetConnectionClose() // The response ends with the connection.
	}
	body, held, err := t.memory.ReadBody(from, max(length, reserver.UnknownLength), maxResponseBytes)
	x.Hold(held)
	switch {
	case err != nil:
	case length == chunkedLength:
		err = readTrailer(c.reader, resp)
	case length == unknownLength:
		err = w.confirmEnd(x.Deadline().Sub(t.clock.Now()))
	}
	if err != nil {
		return nil, &responseError{
			cause: err,
		}
	}

	return body, nil
}

func readFinalHeader(r *bufio.Reader, resp *fasthttp.Response) error {
	for range maxHeaderReads {
		if err := readHead(r, resp); err != nil {
			return &responseError{
				cause: err,
			}
		}
		switch s := resp.StatusCode(); {
		case (s < fasthttp.StatusOK || s == fasthttp.StatusNoContent) && statesBody(resp):
			return &responseError{
				cause: &headError{
					reason: "it states a body that its status does not have",
				},
			}
		case s == fasthttp.StatusSwitchingProtocols:
			return &interimError{}
		case s >= fasthttp.StatusOK:
			return nil
		}
	}

	return &interimError{}
}

// statesBody reports whether the head states that a body follows.
func statesBody(resp *fasthttp.Response) bool {
	length := resp.Header.ContentLength()

	return length > 0 || length == chunkedLength
}

// hasBody reports whether a response with the status carries a body.
func hasBody(status int) bool {
	return status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// completed returns the attempt of a complete response, which is a failed one if
// the target reports that it did not run the request.
func (t *Transport) completed(target *manifester.Target, resp *fasthttp.Response, body []byte) *handler.Attempt {
	if t.dialect.NotRun() != "" {
		if a := t.notRun(target, resp); a != nil {
			return a
		}

		return handler.NewCompletedAttempt(target, copyResponse(t.dialect, resp, body))
	}
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable {
		switch string(resp.Header.Peek(stateField)) {
		case stateShed:
			return handler.NewFailedAttempt(target, handler.FaultShed, handler.NewRefusal(handler.CodeShed, "the target shed the request"))
		case stateDraining:
			return handler.NewFailedAttempt(target, handler.FaultDraining,
				handler.NewRefusal(handler.CodeDraining, "the target is draining and did not run the request"))
		}
	}

	return handler.NewCompletedAttempt(target, copyResponse(t.dialect, resp, body))
}

// notRun returns a failed attempt if the response reports that the target did
// not run the request, and nil otherwise.
func (t *Transport) notRun(target *manifester.Target, resp *fasthttp.Response) *handler.Attempt {
	switch {
	case resp.StatusCode() == fasthttp.StatusMisdirectedRequest:
		return handler.NewFailedAttempt(target, handler.FaultMisdirected, handler.NewRefusal(handler.CodeNoTarget, "another target has the address"))
	case len(resp.Header.Peek(t.dialect.NotRun())) > 0:
		return handler.NewFailedAttempt(target, handler.FaultShed, handler.NewRefusal(handler.CodeShed, "the target did not run the request"))
	default:
		return nil
	}
}
