package reserver

import (
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// firstBytes is the size of the buffer before the first byte of a body has arrived.
	firstBytes = 4 << 10
	// trustedBytes is the number of bytes that must have arrived before a stated length
	// is believed and reserved as a whole.
	trustedBytes = 64 << 10
	// UnknownLength is the length of a body that does not state one.
	UnknownLength = -1
)

// Errors of ReadBody.
var (
	// ErrTooLarge reports a body that is larger than its limit.
	ErrTooLarge = errors.New("the body is larger than its limit")
	// ErrNoMemory reports that the bytes of all bodies together reached their limit.
	ErrNoMemory = errors.New("other bodies hold the memory; try again later")
)

// ReadBody reads a body to its end into memory that it reserves as the bytes arrive. It
// reads length bytes, or up to io.EOF if the length is UnknownLength. It returns the
// number of bytes that it reserved, also with an error; the caller must release them once
// the body is no longer needed. The error is ErrTooLarge, ErrNoMemory or that of the
// reader; io.EOF before the length is io.ErrUnexpectedEOF.
func (r *Reserver) ReadBody(from io.Reader, length, limit int) (body []byte, reserved int64, err error) {
	if length > limit {
		return nil, 0, ErrTooLarge
	}
	for len(body) != length {
		if len(body) > limit {
			return nil, reserved, ErrTooLarge
		}
		if len(body) == cap(body) {
			grown := nextCapacity(len(body), length, limit)
			if !r.Acquire(reserved, int64(grown-cap(body))) {
				return nil, reserved, ErrNoMemory
			}
			reserved += int64(grown - cap(body))
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return endOfBody(body, reserved, length, limit)
		}
		if err != nil {
			return nil, reserved, err //nolint:wrapcheck // The error of the caller's reader.
		}
	}

	return body, reserved, nil
}

// endOfBody returns the results of ReadBody for a body whose reader has ended.
func endOfBody(body []byte, reserved int64, length, limit int) ([]byte, int64, error) {
	switch {
	case len(body) < length:
		return nil, reserved, io.ErrUnexpectedEOF
	case len(body) > limit:
		return nil, reserved, ErrTooLarge
	default:
		return body, reserved, nil
	}
}

// nextCapacity returns the size of the next buffer of a body of which n bytes have
// arrived. Without a length it has room for one byte beyond the limit, which shows that
// the body is too large.
func nextCapacity(n, length, limit int) int {
	switch {
	case length >= 0 && (n >= trustedBytes || length <= firstBytes):
		return length
	case length >= 0:
		return min(length, max(firstBytes, 2*n))
	default:
		return min(limit+1, max(firstBytes, 2*n))
	}
}
