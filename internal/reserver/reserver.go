// Package reserver limits the bytes of bodies that a VM holds in memory at any time, so
// that many large bodies at once do not exhaust it.
package reserver

import "sync/atomic"

// Reserver hands out parts of a fixed number of bytes. It is safe for concurrent use and
// takes no lock.
type Reserver struct {
	// limit is above 0.
	limit int64
	// reserved is the number of bytes handed out; between 0 and limit.
	reserved atomic.Int64
}

// New returns a Reserver of the number of bytes.
func New(limit int64) *Reserver {
	return &Reserver{
		limit: limit,
	}
}

// Acquire reserves n more bytes. It returns false, and reserves nothing, if they are not
// left.
func (r *Reserver) Acquire(n int64) bool {
	for {
		reserved := r.reserved.Load()
		if n > r.limit-reserved {
			return false
		}
		if r.reserved.CompareAndSwap(reserved, reserved+n) {
			return true
		}
	}
}

// Release returns n bytes that were reserved.
func (r *Reserver) Release(n int64) { r.reserved.Add(-n) }

// Reserved returns the number of bytes that are reserved.
func (r *Reserver) Reserved() int64 { return r.reserved.Load() }
