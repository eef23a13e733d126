package subscriber

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

// ExpiredError reports that the requested records are no longer retained.
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
	return "the records have expired; read the newest record of each key"
}

// First returns the offset of the oldest record that is retained.
func (e *ExpiredError) First() Offset { return e.first }
