package registrar

import (
	"fmt"
	"time"

	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// ListFullError reports an entry that was skipped because the list has maxTargets targets.
type ListFullError struct{}

// Error implements error.
func (e *ListFullError) Error() string {
	return fmt.Sprintf("the list already has %d targets; remove entries that name no target", maxTargets)
}

// ChangedStartError reports an entry that names another service or address for a start of a
// target than its earlier entries did. Both stay the same until a target starts again.
type ChangedStartError struct {
	service string
	address string
}

// Error implements error.
func (e *ChangedStartError) Error() string {
	return fmt.Sprintf("this start of the target is at %s and in the service %s; another writer may have left the entry", e.address, e.service)
}

// Entry is the entry of a target in the store's list.
type Entry struct {
	target   *manifester.Target
	service  string
	draining bool
	// warmUp is how much longer the target warms up, from when its entry is applied.
	warmUp time.Duration
	// startedMillis is when the target started, in Unix milliseconds; 0 where unknown.
	startedMillis int64
	// sequence grows with each entry of one start of the target.
	sequence int64
}

// EntrySpec lists the attributes of an entry, with the units and meanings that they have
// in Entry.
type EntrySpec struct {
	Target        manifester.TargetSpec
	Service       string
	Draining      bool
	WarmUp        time.Duration
	StartedMillis int64
	Sequence      int64
}

// NewEntry returns an entry.
func NewEntry(s EntrySpec) *Entry {
	return &Entry{
		target:        manifester.NewTarget(s.Target),
		service:       s.Service,
		draining:      s.Draining,
		warmUp:        s.WarmUp,
		startedMillis: s.StartedMillis,
		sequence:      s.Sequence,
	}
}

// contradicts reports whether both entries are of one start of the target and name
// different services or addresses.
func (e *Entry) contradicts(f *Entry) bool {
	return e.startedMillis == f.startedMillis && (e.service != f.service || e.target.Address() != f.target.Address())
}

// precedes reports whether the entry is an older one of the same target than f.
func (e *Entry) precedes(f *Entry) bool {
	if e.startedMillis != f.startedMillis {
		return e.startedMillis < f.startedMillis
	}

	return e.sequence < f.sequence
}

// decode decodes the entry of the target id.
type decode func(id string, value []byte) (*Entry, error)
