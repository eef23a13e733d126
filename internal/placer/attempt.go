package placer

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Attempt is one open attempt at a target.
type Attempt struct {
	member  *registrar.Member
	route   string
	service string
	risk    float64
	trial   bool
	started timer.Instant
	// overdue is the instant from which on the response is overdue; reported is set once
	// that has been reported as an outcome.
	overdue  timer.Instant
	reported bool
	// abandon cancels the attempt; nil where its request must not be sent again.
	abandon func()
}

// Member returns the target.
func (a *Attempt) Member() *registrar.Member { return a.member }

// Risk returns the risk, between 0 and 1, of the target at the time of the choice.
func (a *Attempt) Risk() float64 { return a.risk }

// Trial reports whether the weight of the target was raised because it was idle.
func (a *Attempt) Trial() bool { return a.trial }

// AttemptSpec lists the properties of an attempt that the choice of its target depends on.
type AttemptSpec struct {
	// Service and Route are the names of the service and of the route.
	Service string
	Route   string
	// LatencyGoal is the time within which a response should come; 0 where unknown.
	LatencyGoal time.Duration
	// Tried are the names of the targets of earlier attempts.
	Tried []string
	// Repeatable is set where the request may be sent to another target after a
	// failure.
	Repeatable bool
	// Abandon cancels the attempt. It is called for repeatable requests only.
	Abandon func()
}
