package follower

import "github.com/lagoonkeel/lagoonkeel/internal/recorder"

const (
	// maxTailRecords and maxTailBytes bound the records kept for peers.
	maxTailRecords = 1024
	maxTailBytes   = 1 << 20
)

// Tail is an immutable list of the last applied records, kept for peers.
type Tail struct {
	// records are in order and without gaps; the last one is the last applied.
	records []recorder.Record
	// bytes is the size of all records.
	bytes int
}

// with returns the tail after one more record.
func (t Tail) with(r recorder.Record) Tail {
	t.records = append(t.records, r)
	t.bytes += len(r.Data())
	for len(t.records) > maxTailRecords || t.bytes > maxTailBytes {
		t.bytes -= len(t.records[0].Data())
		t.records = t.records[1:]
	}

	return t
}

// from returns the records from the offset on, or false if the tail does not
// reach back that far; next is the offset after the last applied record.
func (t Tail) from(offset, next recorder.Offset) ([]recorder.Record, bool) {
	missing := int64(next) - int64(offset)
	switch {
	case missing <= 0:
		return nil, true
	case missing > int64(len(t.records)):
		return nil, false
	default:
		return t.records[int64(len(t.records))-missing:], true
	}
}
