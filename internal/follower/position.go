package follower

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
)

// Position tells how far a VM has followed the configuration stream.
type Position struct {
	// next is the offset of the next record.
	next recorder.Offset
	// known is set once the VM knew that it held every record.
	known bool
	// age is the time since then; 0 or more.
	age   time.Duration
	ready bool
}

// NewPosition returns a position. A VM that never knew the head of the stream
// has known unset, and its age means nothing.
func NewPosition(next recorder.Offset, known bool, age time.Duration, ready bool) Position {
	return Position{
		next:  next,
		known: known,
		age:   max(0, age),
		ready: ready,
	}
}

// Next returns the offset of the next record.
func (p Position) Next() recorder.Offset { return p.next }

// Known reports whether the VM ever knew the head of the stream.
func (p Position) Known() bool { return p.known }

// Age returns the time since the VM knew that it held every record.
func (p Position) Age() time.Duration { return p.age }

// Ready reports whether the VM serves callers.
func (p Position) Ready() bool { return p.ready }
