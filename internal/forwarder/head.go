package forwarder

import (
	"bufio"
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// headError reports the head of a response that is not valid HTTP/1.1.
type headError struct {
	reason string
}

// Error implements error.
func (e *headError) Error() string {
	return "the head of the response is not valid HTTP/1.1, as " + e.reason + "; see the target's log"
}

// readHead reads the head of one response. fasthttp accepts more than HTTP/1.1 allows, so
// readHead checks the status line first.
func readHead(r *bufio.Reader, resp *fasthttp.Response) error {
	line, err := peekLine(r, 0)
	if err != nil {
		return err
	}
	if err := checkStatusLine(line); err != nil {
		return err
	}

	return errors.Wrap(resp.Header.Read(r), "parsing the head")
}

// peekLine returns the line that begins after skip bytes, without its end. It waits until the
// line is whole, and consumes nothing.
func peekLine(r *bufio.Reader, skip int) ([]byte, error) {
	for {
		buffered, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, errors.Wrap(err, "reading the head")
		}
		if line, _, whole := bytes.Cut(buffered[skip:], []byte("\n")); whole {
			return bytes.TrimSuffix(line, []byte("\r")), nil
		}
		if _, err := r.Peek(len(buffered) + 1); err != nil {
			return nil, errors.Wrap(err, "reading the head")
		}
	}
}

// A status line is the protocol, a space, a status of three digits and, after another space,
// a text, which may be missing together with its space.
const (
	protocolLength = len("HTTP/1.1")
	statusBegin    = len("HTTP/1.1 ")
	statusEnd      = len("HTTP/1.1 200")
)

// checkStatusLine returns an error if the line is not a status line of HTTP/1.1 or HTTP/1.0,
// or its status is not from 100 to 599.
func checkStatusLine(line []byte) error {
	switch {
	case len(line) < statusEnd || !isProtocol(line[:protocolLength]) || line[protocolLength] != ' ':
		return &headError{
			reason: "it does not begin with a status line",
		}
	case !isStatus(line[statusBegin:statusEnd]):
		return &headError{
			reason: "its status is not from 100 to 599",
		}
	case len(line) > statusEnd && line[statusEnd] != ' ' || bytes.ContainsFunc(line[statusEnd:], isControl):
		return &headError{
			reason: "a byte after the status is not allowed there",
		}
	default:
		return nil
	}
}

func isProtocol(b []byte) bool {
	return bytes.HasPrefix(b, []byte("HTTP/1.")) && isDigit(b[len(b)-1])
}

func isStatus(b []byte) bool {
	return b[0] >= '1' && b[0] <= '5' && isDigit(b[1]) && isDigit(b[2])
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// isControl reports whether the character is a control character other than a tab.
func isControl(r rune) bool {
	const del = 0x7f

	return r < ' ' && r != '\t' || r == del
}
