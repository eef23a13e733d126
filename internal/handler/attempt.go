package handler

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// Fault is the kind of failure of one attempt at a target.
type Fault string

// The faults of an attempt.
const (
	// FaultNone stands for a whole answer of the target, whatever its status.
	FaultNone Fault = "none"
	// FaultConnect means that no connection could be opened. It tells about the
	// path from this VM as much as about the target.
	FaultConnect Fault = "connect"
	// FaultBusy means that this VM's bound of connections was reached; it tells
	// nothing about the target's health.
	FaultBusy Fault = "busy"
	// FaultStale means that a kept connection had ended before a byte of the
	// request was sent.
	FaultStale Fault = "stale"
	// FaultShed means that the target said it did not run the request.
	FaultShed Fault = "shed"
	// FaultDraining means that the target takes no more work and did not run
	// the request.
	FaultDraining Fault = "draining"
	// FaultMisdirected means that another target has the address; it did not
	// run the request.
	FaultMisdirected Fault = "misdirected"
	// FaultSlow means that no whole answer came in time.
	FaultSlow Fault = "slow"
	// FaultReset means that the connection ended before the first byte of an
	// answer.
	FaultReset Fault = "reset"
	// FaultTruncated means that the connection ended inside an answer, or that
	// the answer has no length by which it could be told to be whole.
	FaultTruncated Fault = "truncated"
	// FaultMalformed means that the answer was not valid HTTP or too large.
	FaultMalformed Fault = "malformed"
	// FaultCanceled means that the caller went away, or its deadline passed
	// before a byte was sent.
	FaultCanceled Fault = "canceled"
)

// ErrAbandoned is the cause of a context that ends an attempt whose target is
// not likely to answer.
var ErrAbandoned = errors.New("the target is not likely to answer")

// Attempt is the result of sending a request to one target.
type Attempt struct {
	target *manifester.Target
	fault  Fault
	// response is the whole answer; nil unless fault is FaultNone.
	response *Response
	// refusal is nil if fault is FaultNone.
	refusal *Refusal
	// firstByte is the time from sending to the first byte of the answer, or to
	// the end of the attempt where none came.
	firstByte time.Duration
	// reused is set if the connection had carried an earlier request.
	reused bool
}

// NewAnswered returns the attempt that got a whole answer.
func NewAnswered(target *manifester.Target, response *Response) *Attempt {
	return &Attempt{
		target:   target,
		fault:    FaultNone,
		response: response,
	}
}

// NewFailed returns the attempt that got no whole answer; the refusal tells
// whether the request may have run.
func NewFailed(target *manifester.Target, fault Fault, refusal *Refusal) *Attempt {
	return &Attempt{
		target:  target,
		fault:   fault,
		refusal: refusal,
	}
}

// Timed stores how long the first byte took and whether the connection had
// been used before.
func (a *Attempt) Timed(firstByte time.Duration, reused bool) *Attempt {
	a.firstByte = firstByte
	a.reused = reused

	return a
}

// Target returns the target of the attempt.
func (a *Attempt) Target() *manifester.Target { return a.target }

// Fault returns the kind of failure, FaultNone for a whole answer.
func (a *Attempt) Fault() Fault { return a.fault }

// Response returns the whole answer, or nil.
func (a *Attempt) Response() *Response { return a.response }

// Status returns the status of a whole answer, or 0.
func (a *Attempt) Status() int {
	if a.response == nil {
		return 0
	}

	return a.response.Status()
}

// FirstByte returns the time from sending to the first byte of the answer, or
// to the end of the attempt where none came; 0 where nothing was sent.
func (a *Attempt) FirstByte() time.Duration { return a.firstByte }

// Reused reports whether the connection had carried an earlier request.
func (a *Attempt) Reused() bool { return a.reused }

// MayHaveRun reports whether the target may have run the request.
func (a *Attempt) MayHaveRun() bool {
	return a.refusal == nil || a.refusal.Outcome() != OutcomeNotRun
}

// Err returns nil for a whole answer, else the *Refusal.
func (a *Attempt) Err() error {
	if a.refusal == nil {
		return nil
	}

	return a.refusal
}
