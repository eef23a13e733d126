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

const (
	// smallBytes and mediumBytes are the sizes up to which a body is small or medium.
	smallBytes  = 64 << 10
	mediumBytes = 1 << 20
	// mediumDivisor and largeDivisor divide the limit into the parts that medium and large
	// bodies leave to smaller ones, however many there are.
	mediumDivisor = 16
	largeDivisor  = 8
)

// Acquire reserves n more bytes for a body that holds some already. It returns false, and
// reserves nothing, if they are not left to a body of that size.
func (r *Reserver) Acquire(held, n int64) bool {
	for {
		reserved := r.reserved.Load()
		if n > r.limit-r.headroom(held+n)-reserved {
			return false
		}
		if r.reserved.CompareAndSwap(reserved, reserved+n) {
			return true
		}
	}
}

// headroom returns the bytes that a body of the size leaves to smaller ones.
func (r *Reserver) headroom(size int64) int64 {
	switch {
	case size <= smallBytes:
		return 0
	case size <= mediumBytes:
		return r.limit / mediumDivisor
	default:
		return r.limit / largeDivisor
	}
}

// Release returns n bytes that were reserved.
func (r *Reserver) Release(n int64) { r.reserved.Add(-n) }

// Reserved returns the number of bytes that are reserved.
func (r *Reserver) Reserved() int64 { return r.reserved.Load() }
