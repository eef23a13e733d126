// Package recorder defines the records of the platform's append-only log and
// the typed errors of its use. It does no I/O.
package recorder

import "fmt"

// Stream names one sequence of records with offsets of its own.
type Stream string

// The streams of a fleet.
const (
	// StreamConfig holds published changes; operators and VMs read it.
	StreamConfig Stream = "config"
	// StreamMembers holds joins, removals and epochs.
	StreamMembers Stream = "members"
	// StreamClaims holds claims of non-idempotent requests.
	StreamClaims Stream = "claims"
	// StreamSnapshots holds whole copies of the configuration in chunks.
	StreamSnapshots Stream = "snapshots"
)

// Offset is the position of a record in its stream, counted from 0.
type Offset int64

// Record is one record of a stream.
type Record struct {
	offset Offset
	data   []byte
}

// NewRecord returns a record.
func NewRecord(offset Offset, data []byte) Record {
	return Record{
		offset: offset,
		data:   data,
	}
}

// Offset returns the position.
func (r Record) Offset() Offset { return r.offset }

// Data returns the content; the caller must not change it.
func (r Record) Data() []byte { return r.data }

// Batch is the answer to a read.
type Batch struct {
	// records are in order and without gaps.
	records []Record
	// first is the offset of the oldest record that the log still keeps.
	first Offset
	// head is the offset that the next append will get.
	head Offset
}

// NewBatch returns a batch.
func NewBatch(records []Record, first, head Offset) Batch {
	return Batch{
		records: records,
		first:   first,
		head:    head,
	}
}

// Records returns the records in order.
func (b Batch) Records() []Record { return b.records }

// First returns the offset of the oldest record kept.
func (b Batch) First() Offset { return b.first }

// Head returns the offset that the next append will get.
func (b Batch) Head() Offset { return b.head }

// UnavailableError reports that the log did not answer. Where unknown is set,
// an append may have taken effect all the same.
type UnavailableError struct {
	stream  Stream
	unknown bool
	cause   error
}

// NewUnavailableError returns the error of a failed call on the stream.
func NewUnavailableError(stream Stream, unknown bool, cause error) *UnavailableError {
	return &UnavailableError{
		stream:  stream,
		unknown: unknown,
		cause:   cause,
	}
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.unknown {
		return fmt.Sprintf("the log gave no answer to an append on %q, which may have taken effect: read it back before another append: %v", e.stream, e.cause)
	}

	return fmt.Sprintf("the log is unavailable for %q: %v", e.stream, e.cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

// Unknown reports whether an append may have taken effect.
func (e *UnavailableError) Unknown() bool { return e.unknown }

// ExpiredError reports a read of records that the log keeps no more.
type ExpiredError struct {
	from  Offset
	first Offset
}

// NewExpiredError returns the error of a read from an offset before first.
func NewExpiredError(from, first Offset) *ExpiredError {
	return &ExpiredError{
		from:  from,
		first: first,
	}
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("record %d has expired; the oldest kept record is %d: start from a snapshot", e.from, e.first)
}

// First returns the offset of the oldest record kept.
func (e *ExpiredError) First() Offset { return e.first }
