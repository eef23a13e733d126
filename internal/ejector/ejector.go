// Package ejector detects outliers among the targets and decides how many
// requests each target gets. It sums the results of attempts per target, pools
// the sums of all VMs, and grades each target. The decisions take the time as an
// argument and do no I/O; the Controller runs them periodically.
package ejector

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// Key identifies one target at one address. A target that moves to another
// address counts as another target, without earlier evidence.
type Key struct {
	service string
	name    string
	address string
}

// KeyOf returns the key of a service's target.
func KeyOf(s *manifester.Service, t *manifester.Target) Key {
	return Key{
		service: s.Name(),
		name:    t.Name(),
		address: t.Address(),
	}
}

// Service returns the name of the service.
func (k Key) Service() string { return k.service }

// Name returns the name of the target.
func (k Key) Name() string { return k.name }

// Address returns the IP address and port of the target.
func (k Key) Address() string { return k.address }

// ID returns the identifier under which VMs exchange sums for the key.
func (k Key) ID() TargetID {
	return TargetID(xxhash.Sum64String(k.service + "\x00" + k.name + "\x00" + k.address))
}

// TargetID identifies a key in reports; all VMs compute the same value.
type TargetID uint64

// ServiceID identifies a service in reports; all VMs compute the same value.
type ServiceID uint64

// ServiceIDOf returns the identifier of the service with the name.
func ServiceIDOf(name string) ServiceID {
	return ServiceID(xxhash.Sum64String(name))
}

// Result classifies how an attempt at a target ended.
type Result int

// The results of an attempt.
const (
	// ResultOK is a complete response without an error of the target.
	ResultOK Result = iota
	// ResultFailed is a server error, a reset or a truncated response.
	ResultFailed
	// ResultTimeout is an attempt without a response by its deadline, or one that
	// the caller cancelled. It counts, as slow, only if it lasted long enough.
	ResultTimeout
	// ResultConnect is an attempt that could not open a connection. It is evidence
	// about the path from this VM, not about the target.
	ResultConnect
	// ResultShed is a refusal by the target because of its load.
	ResultShed
	// ResultDraining is a refusal by the target because it is leaving.
	ResultDraining
	// ResultNone is an attempt that says nothing about the target.
	ResultNone
)

// Outcome is a finished attempt.
type Outcome struct {
	// started is when the attempt was counted as open.
	started timer.Instant
	// took is the time to the first byte, or to the failure.
	took   time.Duration
	result Result
}

// NewOutcome returns the outcome of an attempt.
func NewOutcome(started timer.Instant, took time.Duration, r Result) Outcome {
	return Outcome{
		started: started,
		took:    took,
		result:  r,
	}
}

// Started returns when the attempt was counted as open.
func (o Outcome) Started() timer.Instant { return o.started }

// Took returns the time to the first byte, or to the failure.
func (o Outcome) Took() time.Duration { return o.took }

// Result returns how the attempt ended.
func (o Outcome) Result() Result { return o.result }

// Grade is how many requests a target gets.
type Grade int

// The grades, from all of its requests to trial requests only.
const (
	GradeFull Grade = iota
	GradeReduced
	GradeEjected
)

// String returns the name of the grade.
func (g Grade) String() string {
	switch g {
	case GradeReduced:
		return "reduced"
	case GradeEjected:
		return "ejected"
	default:
		return "full"
	}
}
