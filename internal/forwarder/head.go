package forwarder

import (
	"bufio"
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// headError reports a head, or the trailer of a body, that is not valid HTTP/1.1.
type headError struct {
	reason string
}

// Error implements error.
func (e *headError) Error() string {
	return "the head or trailer of the response is not valid HTTP/1.1, as " + e.reason + "; see the target's log"
}

// readHead reads the head of one response. fasthttp accepts more than HTTP/1.1 allows, so
// readHead checks each line first, as soon as it is whole.
func readHead(r *bufio.Reader, resp *fasthttp.Response) error {
	if err := checkHead(r); err != nil {
		return err
	}

	return errors.Wrap(resp.Header.Read(r), "parsing the head")
}

// readTrailer reads the fields behind the last chunk of a body, which are not used.
func readTrailer(r *bufio.Reader, resp *fasthttp.Response) error {
	if err := checkFields(r, 0, checkFieldLine); err != nil {
		return err
	}

	return errors.Wrap(resp.Header.ReadTrailer(r), "parsing the trailer")
}

// checkHead waits until the reader holds a whole head, and returns an error if a line of it is
// not valid. It consumes nothing.
func checkHead(r *bufio.Reader) error {
	line, err := peekLine(r, 0)
	if err != nil {
		return err
	}
	if err := checkStatusLine(line); err != nil {
		return err
	}
	f := framing{
		codable: bytes.HasPrefix(line, []byte("HTTP/1.1")),
	}

	return checkFields(r, len(line)+len(lineEnd), f.add)
}

// checkFields waits until the reader holds, after skip bytes, lines up to an empty one, and
// returns the first error of check for one of them. It consumes nothing.
func checkFields(r *bufio.Reader, skip int, check func(line []byte) error) error {
	for {
		line, err := peekLine(r, skip)
		if err != nil || len(line) == 0 {
			return err
		}
		if err := check(line); err != nil {
			return err
		}
		skip += len(line) + len(lineEnd)
	}
}

// lineEnd is the end of a line.
const lineEnd = "\r\n"

// peekLine returns the line that begins after skip bytes, without its end. It waits until the
// line is whole, and consumes nothing.
func peekLine(r *bufio.Reader, skip int) ([]byte, error) {
	for {
		buffered, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, errors.Wrap(err, "reading the head")
		}
		if line, _, whole := bytes.Cut(buffered[skip:], []byte("\n")); whole {
			return trimReturn(line)
		}
		if _, err := r.Peek(len(buffered) + 1); err != nil {
			return nil, errors.Wrap(err, "reading the head")
		}
	}
}

// trimReturn returns the line without the carriage return that has to precede its line
// feed. Where it is missing, other parsers may take two lines for one, or not see the end of
// the head.
func trimReturn(line []byte) ([]byte, error) {
	text, ok := bytes.CutSuffix(line, []byte("\r"))
	if !ok {
		return nil, &headError{
			reason: "a line does not end with a carriage return and a line feed",
		}
	}

	return text, nil
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

// checkFieldLine returns an error if the line is not a field: a name, a colon and a value. Line
// folding, which is obsolete, is not valid either: it would change the field of the line
// before, which may be the signature.
func checkFieldLine(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found || !isToken(name):
		return &headError{
			reason: "the name of a field is missing or not a token",
		}
	case bytes.ContainsFunc(value, isControl):
		return &headError{
			reason: "the value of a field holds a control character",
		}
	default:
		return nil
	}
}

// framing is what the fields of a head state about the end of the body.
type framing struct {
	// codable is set if the version of HTTP defines transfer codings.
	codable bool
	// coded and sized are set once a field with a transfer coding, or a length, was added.
	coded bool
	sized bool
}

// add adds a field line. It returns an error if the line is not valid, or if the body could
// have two ends. fasthttp then chooses one: it ignores a transfer coding where the version
// defines none, and a length beside a transfer coding.
func (f *framing) add(line []byte) error {
	if err := checkFieldLine(line); err != nil {
		return err
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	f.coded = f.coded || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	f.sized = f.sized || bytes.EqualFold(name, []byte("Content-Length"))
	switch {
	case f.coded && !f.codable:
		return &headError{
			reason: "it has a transfer coding, which only HTTP/1.1 defines",
		}
	case f.coded && f.sized:
		return &headError{
			reason: "it has a length and a transfer coding",
		}
	default:
		return nil
	}
}

// isToken reports whether the text is a token, as the names of fields are.
func isToken(text []byte) bool {
	return len(text) > 0 && !bytes.ContainsFunc(text, func(r rune) bool { return !isTokenChar(r) })
}

func isTokenChar(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	default:
		return strings.ContainsRune("!#$%&'*+-.^_`|~", r)
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
