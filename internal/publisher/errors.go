package publisher

import (
	"fmt"
	"strings"

	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// RaceError reports that another change took effect first, so that the published
// change is based on a version that is no longer in force.
type RaceError struct {
	base    manifester.Version
	inForce manifester.Version
}

// Error implements error.
func (e *RaceError) Error() string {
	return fmt.Sprintf("another change was published first: this change is based on version %d, but version %d is in force; "+
		"compare your manifest with it using `publish --dry-run`, then publish again", e.base, e.inForce)
}

// InForce returns the version that was in force when the change was rejected.
func (e *RaceError) InForce() manifester.Version { return e.inForce }

// UnsettledError reports that the log was unavailable for too long, so that it is not
// known whether the change was accepted.
type UnsettledError struct {
	id    manifester.ChangeID
	cause error
}

// Error implements error.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("it is not known whether change %s was accepted: %v; once the log answers, publish the same manifest again: "+
		"nothing is appended if the change was accepted", e.id, e.cause)
}

// Unwrap returns the last error of the log.
func (e *UnsettledError) Unwrap() error { return e.cause }

// Laggard is a VM on which a version is not yet in force.
type Laggard struct {
	name string
	// reason is the VM's progress, or why the progress is not known.
	reason string
}

// Name returns the VM's name, or its address if the name is not known.
func (l Laggard) Name() string { return l.name }

// LagError reports VMs on which an accepted version is not yet in force.
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

	return fmt.Sprintf("version %d was accepted but is not yet in force on %s; "+
		"these VMs apply it once they can read the log or reach a peer: check them with `lagoonkeel status`", e.version, strings.Join(names, ", "))
}

// Laggards returns the VMs on which the version is not yet in force.
func (e *LagError) Laggards() []Laggard { return e.laggards }
