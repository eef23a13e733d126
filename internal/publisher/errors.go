package publisher

import (
	"fmt"
	"strings"

	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// RaceError reports that another change came into force first.
type RaceError struct {
	base    manifester.Version
	inForce manifester.Version
}

// Error implements error.
func (e *RaceError) Error() string {
	return fmt.Sprintf("another operator's change came first: this one was made against version %d, but version %d is in force; "+
		"see what it changed with `publish --dry-run`, then publish again", e.base, e.inForce)
}

// InForce returns the version that came first.
func (e *RaceError) InForce() manifester.Version { return e.inForce }

// UnsettledError reports that the log gave no answer for so long that it is not
// known whether the change counts.
type UnsettledError struct {
	id    manifester.ChangeID
	cause error
}

// Error implements error.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("it is not known whether change %s counts: %v; once the log answers, publish the same manifest again: "+
		"it appends nothing if the change counts", e.id, e.cause)
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.cause }

// Laggard is a VM on which a version is not in force yet.
type Laggard struct {
	name string
	// reason tells how far it is, or why that is not known.
	reason string
}

// Name returns the VM's name or address.
func (l Laggard) Name() string { return l.name }

// LagError reports VMs on which an accepted version is not in force yet.
type LagError struct {
	version  manifester.Version
	laggards []Laggard
}

// Error implements error.
func (e *LagError) Error() string {
	names := make([]string, 0, len(e.laggards))
	for _, l := range e.laggards {
		names = append(names, l.name+" ("+l.reason+")")
	}

	return fmt.Sprintf("version %d is accepted and counts, but is not yet in force on %s; "+
		"they follow once they reach the log or a peer: ask them with `lagoonkeel status`", e.version, strings.Join(names, ", "))
}

// Laggards returns the VMs.
func (e *LagError) Laggards() []Laggard { return e.laggards }
