package follower

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
)

// Position is how far a VM has followed the configuration stream.
type Position struct {
	// next is the offset of the next record.
	next recorder.Offset
	// known is set once the VM has known that it held every record.
	known bool
	// age is the time since the VM last knew that; 0 or more.
	age   time.Duration
	ready bool
}

// NewPosition returns a position. A VM that has never known the head of the
// stream has known unset, and its age has no meaning.
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

// Known reports whether the VM has ever known that it held every record.
func (p Position) Known() bool { return p.known }

// Age returns the time since the VM last knew that it held every record.
func (p Position) Age() time.Duration { return p.age }

// Ready reports whether the VM's state has been confirmed as current.
func (p Position) Ready() bool { return p.ready }
