// Package recorder defines the records of the platform's append-only log and the
// errors of its calls. It does no I/O.
package recorder

import "fmt"

// Stream is the name of a sequence of records that has its own offsets.
type Stream string

// The streams of a fleet.
const (
	// StreamConfig holds published changes; operators and VMs read it.
	StreamConfig Stream = "config"
	// StreamMembers holds joins, removals and epochs.
	StreamMembers Stream = "members"
	// StreamClaims holds the claims on idempotency keys and their releases.
	StreamClaims Stream = "claims"
	// StreamSnapshots holds snapshots of the configuration in chunks.
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

// Offset returns the position of the record in its stream.
func (r Record) Offset() Offset { return r.offset }

// Data returns the content; the caller must not modify it.
func (r Record) Data() []byte { return r.data }

// Batch is the result of a read.
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

// First returns the offset of the oldest record that the log still keeps.
func (b Batch) First() Offset { return b.first }

// Head returns the offset that the next append will get.
func (b Batch) Head() Offset { return b.head }

// UnavailableError reports a call that the log did not complete.
type UnavailableError struct {
	stream Stream
	// outcomeUnknown is set if the call was an append that may have taken effect.
	outcomeUnknown bool
	cause          error
}

// NewUnavailableError returns the error of a failed call on the stream; with
// outcomeUnknown, an append may have taken effect.
func NewUnavailableError(stream Stream, outcomeUnknown bool, cause error) *UnavailableError {
	return &UnavailableError{
		stream:         stream,
		outcomeUnknown: outcomeUnknown,
		cause:          cause,
	}
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.outcomeUnknown {
		return fmt.Sprintf("the outcome of an append to %q is unknown (it may have taken effect): read the stream before appending again: %v", e.stream, e.cause)
	}

	return fmt.Sprintf("the log is unavailable for %q: %v", e.stream, e.cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

// OutcomeUnknown reports whether an append may have taken effect.
func (e *UnavailableError) OutcomeUnknown() bool { return e.outcomeUnknown }

// ExpiredError reports a read of records that the log no longer keeps.
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
	return fmt.Sprintf("record %d has expired; the oldest record that the log keeps is %d: start from a snapshot", e.from, e.first)
}

// First returns the offset of the oldest record that the log still keeps.
func (e *ExpiredError) First() Offset { return e.first }
