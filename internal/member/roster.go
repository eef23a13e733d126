package member

import (
	"fmt"
	"sort"

	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
)

// noOffset is the offset of an epoch that no record began.
const noOffset recorder.Offset = -1

// Record is one record of the members stream: it ends one epoch and begins the
// next.
type Record struct {
	// base is the offset of the record that began the epoch which this one
	// ends, or -1 if no record began it.
	base recorder.Offset
	// epoch is the number of the epoch that begins.
	epoch uint64
	// members are those of the epoch that begins, ordered by id.
	members []VM
	// proof lists the members of the ended epoch that are known to have adopted
	// it.
	proof []Incarnation
	// listed are the members that the platform's list has named at some time.
	listed []Incarnation
	// forced marks a removal, without proof, of members that the platform's
	// list no longer names.
	forced bool
}

// RecordSpec lists the fields of a record.
type RecordSpec struct {
	Base    recorder.Offset
	Epoch   uint64
	Members []VM
	Proof   []Incarnation
	Listed  []Incarnation
	Forced  bool
}

// NewRecord returns a record with its members ordered by id.
func NewRecord(s RecordSpec) *Record {
	return &Record{
		base:    s.Base,
		epoch:   s.Epoch,
		members: sortedByID(s.Members),
		proof:   s.Proof,
		listed:  s.Listed,
		forced:  s.Forced,
	}
}

// Base returns the offset of the record that began the ended epoch, or -1.
func (r *Record) Base() recorder.Offset { return r.base }

// Epoch returns the number of the epoch that begins.
func (r *Record) Epoch() uint64 { return r.epoch }

// Members returns the members of the epoch that begins, ordered by id.
func (r *Record) Members() []VM { return r.members }

// Proof returns the members of the ended epoch that are known to have adopted
// it.
func (r *Record) Proof() []Incarnation { return r.proof }

// Listed returns the members that the platform's list has named at some time.
func (r *Record) Listed() []Incarnation { return r.listed }

// Forced reports whether the record removes, without proof, members that the
// platform's list no longer names.
func (r *Record) Forced() bool { return r.forced }

// Entry is a record and its offset in the members stream.
type Entry struct {
	offset recorder.Offset
	record *Record
}

// NewEntry returns the entry of a record at an offset of the members stream.
func NewEntry(offset recorder.Offset, record *Record) *Entry {
	return &Entry{
		offset: offset,
		record: record,
	}
}

// Offset returns the offset in the members stream.
func (e *Entry) Offset() recorder.Offset { return e.offset }

// Record returns the record of the entry.
func (e *Entry) Record() *Record { return e.record }

// StaleRecordError reports a record that ends an epoch other than the current
// one: another proposal was accepted first, and the proposer has to try again.
type StaleRecordError struct {
	base    recorder.Offset
	present recorder.Offset
}

// Error implements error.
func (e *StaleRecordError) Error() string {
	return fmt.Sprintf("the record ends the epoch that began at offset %d, but the current epoch began at offset %d; propose the change again", e.base, e.present)
}

// ChangeError reports a record whose change is not allowed.
type ChangeError struct {
	epoch  uint64
	reason string
}

// Error implements error.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("the record that begins epoch %d is skipped: %s", e.epoch, e.reason)
}

// Roster is the immutable membership of one epoch.
type Roster struct {
	epoch uint64
	// offset is that of the record that began the epoch, or -1 if none did.
	offset recorder.Offset
	// members are ordered by id; ids and incarnations are unique.
	members []VM
	// listed are the members that the platform's list has named at some time.
	listed map[Incarnation]bool
	// orders maps each range to the indexes of members in its rendezvous order.
	orders [][]int
}

func newRoster(epoch uint64, offset recorder.Offset, members []VM, listed ...Incarnation) *Roster {
	r := &Roster{
		epoch:   epoch,
		offset:  offset,
		members: members,
		listed:  map[Incarnation]bool{},
		orders:  rendezvousOrders(members),
	}
	for _, i := range listed {
		r.listed[i] = true
	}

	return r
}

// rosterOf returns the roster of an accepted record. The record names every
// listed member, so the roster does not depend on an earlier one.
func rosterOf(e *Entry) *Roster {
	return newRoster(e.record.epoch, e.offset, e.record.members, e.record.listed...)
}

// Quorum returns the number of members in a majority; it is 0 in an epoch
// without members.
func (r *Roster) Quorum() int {
	if len(r.members) == 0 {
		return 0
	}

	return len(r.members)/2 + 1
}

// Next returns the roster of the epoch that the record at the offset begins. It
// returns a StaleRecordError or a ChangeError if the record must be skipped;
// every VM decides the same for the same record.
func (r *Roster) Next(record *Record, offset recorder.Offset) (*Roster, error) {
	if record.base != r.offset {
		return nil, &StaleRecordError{
			base:    record.base,
			present: r.offset,
		}
	}
	if reason := r.rejection(record); reason != "" {
		return nil, &ChangeError{
			epoch:  record.epoch,
			reason: reason,
		}
	}

	return rosterOf(NewEntry(offset, record)), nil
}

// rejection returns the reason why the record may not follow this epoch, or "".
func (r *Roster) rejection(record *Record) string {
	if record.epoch != r.epoch+1 {
		return fmt.Sprintf("epoch %d must follow epoch %d", r.epoch+1, r.epoch)
	}
	if !unique(record.members) {
		return "a VM is listed twice among the members"
	}
	joined := countMissing(record.members, r.members)
	left := countMissing(r.members, record.members)
	if record.forced {
		return r.forcedRejection(record, joined)
	}
	if joined+left > 1 {
		return "more than one member changes"
	}
	if r.countMembers(record.proof) < r.Quorum() {
		return "it lacks proof that a majority had adopted the previous epoch"
	}

	return ""
}

// forcedRejection returns the reason why the record may not remove members
// without proof, or "".
func (r *Roster) forcedRejection(record *Record, joined int) string {
	if joined > 0 {
		return "a removal without proof adds members"
	}
	kept := map[Incarnation]bool{}
	for _, m := range record.members {
		kept[m.incarnation] = true
	}
	for _, m := range r.members {
		if !kept[m.incarnation] && !r.listed[m.incarnation] {
			return fmt.Sprintf("VM %q is removed without proof, but the platform's list has never named it", m.id)
		}
	}

	return ""
}

// countMembers returns how many of the members are in list.
func (r *Roster) countMembers(list []Incarnation) int {
	named := map[Incarnation]bool{}
	for _, i := range list {
		named[i] = true
	}
	n := 0
	for _, m := range r.members {
		if named[m.incarnation] {
			n++
		}
	}

	return n
}

// member returns the member with the incarnation.
func (r *Roster) member(i Incarnation) (VM, bool) {
	for _, m := range r.members {
		if m.incarnation == i {
			return m, true
		}
	}

	return VM{}, false
}

// has reports whether the incarnation is a member.
func (r *Roster) has(i Incarnation) bool {
	_, ok := r.member(i)

	return ok
}

// order returns the indexes of the members in the range's rendezvous order.
func (r *Roster) order(n Range) []int { return r.orders[n] }

// without returns the members for which removed returns false.
func (r *Roster) without(removed func(VM) bool) []VM {
	kept := make([]VM, 0, len(r.members))
	for _, m := range r.members {
		if !removed(m) {
			kept = append(kept, m)
		}
	}

	return kept
}

// rendezvousOrders returns, for each range, the indexes of the members by
// descending score.
func rendezvousOrders(members []VM) [][]int {
	orders := make([][]int, RangeCount)
	for n := range orders {
		scores := make([]uint64, len(members))
		order := make([]int, len(members))
		for i, m := range members {
			scores[i] = score(Range(n), m)
			order[i] = i
		}
		sort.Slice(order, func(i, j int) bool {
			return scores[order[i]] > scores[order[j]]
		})
		orders[n] = order
	}

	return orders
}

func sortedByID(list []VM) []VM {
	out := append([]VM(nil), list...)
	sort.Slice(out, func(i, j int) bool {
		return out[i].id < out[j].id
	})

	return out
}

// unique reports whether no two VMs share an id or an incarnation.
func unique(list []VM) bool {
	ids := map[ID]bool{}
	incarnations := map[Incarnation]bool{}
	for _, v := range list {
		if ids[v.id] || incarnations[v.incarnation] {
			return false
		}
		ids[v.id] = true
		incarnations[v.incarnation] = true
	}

	return true
}

// countMissing returns how many VMs of list are not in other.
func countMissing(list, other []VM) int {
	known := map[VM]bool{}
	for _, v := range other {
		known[v] = true
	}
	n := 0
	for _, v := range list {
		if !known[v] {
			n++
		}
	}

	return n
}
