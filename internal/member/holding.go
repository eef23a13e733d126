package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Range is one part of the space of teams and claim keys. Each range has at
// most one active holder in the fleet at any moment.
type Range uint16

// RangeCount is the number of ranges.
const RangeCount = 256

// RangeOf returns the range of a name.
func RangeOf(name string) Range {
	return Range(xxhash.Sum64String(name) % RangeCount)
}

// Term is one uninterrupted right to hold ranges. State that a holder built up
// in one term must not be used in another.
type Term struct {
	// epoch is the one in which the right began; it may go on in later ones.
	epoch       uint64
	incarnation Incarnation
}

// NewTerm returns the term of an incarnation that began in an epoch.
func NewTerm(epoch uint64, incarnation Incarnation) Term {
	return Term{
		epoch:       epoch,
		incarnation: incarnation,
	}
}

// Epoch returns the epoch in which the term began.
func (t Term) Epoch() uint64 { return t.epoch }

// Incarnation returns the holder's incarnation.
func (t Term) Incarnation() Incarnation { return t.incarnation }

// score orders members for a range; all VMs compute the same order.
func score(r Range, v VM) uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(r))
	_, _ = d.Write(b[:]) // A digest never fails.
	_, _ = d.WriteString(string(v.id))
	binary.BigEndian.PutUint64(b[:], uint64(v.incarnation))
	_, _ = d.Write(b[:]) // A digest never fails.

	return d.Sum64()
}
