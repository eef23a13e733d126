package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Range is one partition of the rate slots of teams and of the claim keys. Each
// range has at most one active holder in the fleet at any time.
type Range uint16

// RangeCount is the number of ranges.
const RangeCount = 256

// RangeOf returns the range of the name of a rate slot or of a claim key.
func RangeOf(name string) Range {
	return Range(xxhash.Sum64String(name) % RangeCount)
}

// Term is a period in which one VM holds a range without interruption. State
// that a holder built up in one term must not be used in another.
type Term struct {
	// epoch is the one in which the term began; the term may extend into later
	// epochs.
	epoch       uint64
	incarnation Incarnation
}

// NewTerm returns the term that an incarnation began in an epoch.
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

// score returns the rendezvous hash of a member for a range; all VMs compute
// the same value.
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
