package subscriber

import "time"

// Offset is the position of a record in its topic.
type Offset int64

// Record is one record of a topic.
type Record struct {
	key string
	// value is nil where the key was removed.
	value  []byte
	offset Offset
}

// NewRecord returns a record; a nil value removes the key.
func NewRecord(key string, value []byte, offset Offset) Record {
	return Record{
		key:    key,
		value:  value,
		offset: offset,
	}
}

// Key returns the key.
func (r Record) Key() string { return r.key }

// Value returns the value, or nil where the key was removed.
func (r Record) Value() []byte { return r.value }

// Removed reports whether the record removes its key.
func (r Record) Removed() bool { return r.value == nil }

// Offset returns the offset of the record.
func (r Record) Offset() Offset { return r.offset }

// Query asks for the changes of a topic from an offset on.
type Query struct {
	from Offset
	// wait is how long the store waits for a change where there is none; 0 where it
	// responds at once.
	wait time.Duration
	// timeout bounds the time until the response begins, in addition to wait.
	timeout time.Duration
}

// NewQuery returns a query, with the meanings of the fields of Query.
func NewQuery(from Offset, wait, timeout time.Duration) Query {
	return Query{
		from:    from,
		wait:    wait,
		timeout: timeout,
	}
}

// From returns the offset of the first record that is asked for.
func (q Query) From() Offset { return q.from }

// Wait returns how long the store waits for a change where there is none.
func (q Query) Wait() time.Duration { return q.wait }

// Timeout returns the time within which the response has to begin, in addition to Wait.
func (q Query) Timeout() time.Duration { return q.timeout }

// Batch holds consecutive records of one era: all changes between two offsets.
type Batch struct {
	era Era
	// from is the offset of the first change, and to the one after the last.
	from, to Offset
	// records are in the order of their offsets.
	records []Record
}

// NewBatch returns a batch of an unknown era, with the meanings of the fields of Batch.
func NewBatch(from, to Offset, records []Record) Batch {
	return Batch{
		from:    from,
		to:      to,
		records: records,
	}
}

// InEra returns a copy of the batch in the era.
func (b Batch) InEra(e Era) Batch {
	b.era = e

	return b
}

// Era returns the era of the offsets.
func (b Batch) Era() Era { return b.era }

// From returns the offset of the first change.
func (b Batch) From() Offset { return b.from }

// To returns the offset after the last change.
func (b Batch) To() Offset { return b.to }

// Records returns the records in the order of their offsets.
func (b Batch) Records() []Record { return b.records }

// Snapshot holds the newest record of each key.
type Snapshot struct {
	era     Era
	records []Record
	// next is the offset from which on changes may not be in the snapshot.
	next Offset
}

// NewSnapshot returns a snapshot of an unknown era, with the meanings of the fields of Snapshot.
func NewSnapshot(records []Record, next Offset) Snapshot {
	return Snapshot{
		records: records,
		next:    next,
	}
}

// InEra returns a copy of the snapshot in the era.
func (s Snapshot) InEra(e Era) Snapshot {
	s.era = e

	return s
}

// Era returns the era of the offsets.
func (s Snapshot) Era() Era { return s.era }

// Records returns the newest record of each key.
func (s Snapshot) Records() []Record { return s.records }

// Next returns the offset from which on changes may not be in the snapshot.
func (s Snapshot) Next() Offset { return s.next }

// Changes is a response to a query.
type Changes struct {
	era     Era
	records []Record
	// next is the offset after the last record, or that of the query if there is none.
	next Offset
	// end is the offset after the last record of the topic. It is above next where more
	// records follow.
	end Offset
}

// NewChanges returns a response of an unknown era, with the meanings of the fields of Changes.
func NewChanges(records []Record, next, end Offset) Changes {
	return Changes{
		records: records,
		next:    next,
		end:     end,
	}
}

// InEra returns a copy of the response in the era.
func (c Changes) InEra(e Era) Changes {
	c.era = e

	return c
}

// Era returns the era of the offsets.
func (c Changes) Era() Era { return c.era }

// Records returns the records in the order of their offsets.
func (c Changes) Records() []Record { return c.records }

// Next returns the offset after the last record.
func (c Changes) Next() Offset { return c.next }

// End returns the offset after the last record of the topic.
func (c Changes) End() Offset { return c.end }

// ExpiredError reports that the store does not have the requested records: they are no longer
// retained, or it came back from an older copy that does not reach as far.
type ExpiredError struct {
	first Offset
}

// NewExpiredError returns the error; first is the offset of the oldest record that is
// retained.
func NewExpiredError(first Offset) *ExpiredError {
	return &ExpiredError{
		first: first,
	}
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return "the store does not have the records; read the newest record of each key"
}

// First returns the offset of the oldest record that is retained.
func (e *ExpiredError) First() Offset { return e.first }
