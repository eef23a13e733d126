// Package follower maintains the manifest in force: it follows the configuration
// stream of the log and publishes each new version by read-copy-update.
package follower

import (
	"fmt"

	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// DecodeChange decodes the change in a record.
type DecodeChange func(data []byte) (*manifester.Change, error)

// State decides which records change the manifest. VMs that apply the same
// records in the same order reach the same manifest. It does no I/O and belongs
// to one goroutine.
type State struct {
	manifest *manifester.Manifest
	// next is the offset of the next record to apply.
	next   recorder.Offset
	decode DecodeChange
}

// NewState returns the state before the first record.
func NewState(decode DecodeChange) *State {
	return &State{
		manifest: manifester.Empty(),
		decode:   decode,
	}
}

// Manifest returns the manifest in force.
func (s *State) Manifest() *manifester.Manifest { return s.manifest }

// Next returns the offset of the next record to apply.
func (s *State) Next() recorder.Offset { return s.next }

// GapError reports a record that is not the next one.
type GapError struct {
	next recorder.Offset
	got  recorder.Offset
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("record %d is missing before record %d", e.next, e.got)
}

// Apply applies the next record and returns its change. A record before the next
// one is ignored: Apply returns neither a change nor an error. After a *GapError
// the state is unchanged; after any other error the record is skipped.
func (s *State) Apply(r recorder.Record) (*manifester.Change, error) {
	if r.Offset() < s.next {
		return nil, nil //nolint:nilnil // Neither a change nor an error.
	}
	if r.Offset() > s.next {
		return nil, &GapError{
			next: s.next,
			got:  r.Offset(),
		}
	}
	s.next++
	c, err := s.decode(r.Data())
	if err != nil {
		return nil, err
	}
	m, err := s.manifest.Apply(c, manifester.Version(r.Offset()))
	if err != nil {
		return nil, err
	}
	s.manifest = m

	return c, nil
}

// Restore replaces the state with the one of a snapshot and reports whether it
// did: a snapshot that is no newer than the state is ignored.
func (s *State) Restore(m *manifester.Manifest, next recorder.Offset) bool {
	if next <= s.next || m.Version() < s.manifest.Version() {
		return false
	}
	s.manifest = m
	s.next = next

	return true
}
