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
	// FaultNone means that the target sent a complete response, whatever its
	// status.
	FaultNone Fault = "none"
	// FaultConnect means that no connection could be opened. The cause may be
	// the network path from this VM as well as the target.
	FaultConnect Fault = "connect"
	// FaultConnectionLimit means that this VM's limit on connections to the target
	// was reached. It says nothing about the target's health.
	FaultConnectionLimit Fault = "busy"
	// FaultStale means that the connection, usually an idle one that was reused,
	// ended before any byte of the request was sent.
	FaultStale Fault = "stale"
	// FaultShed means that the target reported that it did not run the request.
	FaultShed Fault = "shed"
	// FaultDraining means that the target accepts no new requests and did not
	// run this one.
	FaultDraining Fault = "draining"
	// FaultMisdirected means that a different target now uses the address; that
	// target did not run the request.
	FaultMisdirected Fault = "misdirected"
	// FaultSlow means that no complete response arrived in time, or that the
	// attempt was aborted with ErrAbandoned.
	FaultSlow Fault = "slow"
	// FaultReset means that the connection ended before the first byte of the
	// response.
	FaultReset Fault = "reset"
	// FaultTruncated means that the connection ended in the middle of the
	// response, or that the response has no framing that shows where it ends.
	FaultTruncated Fault = "truncated"
	// FaultMalformed means that the response was not valid HTTP, was too large,
	// belonged to another request or lacked the target's signature.
	FaultMalformed Fault = "malformed"
	// FaultNoMemory means that this VM had no memory left for the response. It says
	// nothing about the target's health.
	FaultNoMemory Fault = "no-memory"
	// FaultCanceled means that the caller disconnected, that the deadline passed
	// before any byte of the request was sent, or that the attempt was aborted with
	// ErrOvertaken. It says nothing about the target's health.
	FaultCanceled Fault = "canceled"
)

// ErrAbandoned is the cancellation cause of the context of an attempt that is
// aborted because its target is unlikely to respond.
var ErrAbandoned = errors.New("the attempt was aborted: the target is unlikely to respond")

// ErrOvertaken is the cancellation cause of the context of an attempt that is aborted
// because another attempt at the same request got a good response first.
var ErrOvertaken = errors.New("the attempt was aborted: another one got a response first")

// Attempt is the result of sending a request to one target.
type Attempt struct {
	target *manifester.Target
	fault  Fault
	// response is the complete response; nil unless fault is FaultNone.
	response *Response
	// refusal is nil if fault is FaultNone.
	refusal *Refusal
	// firstByte is the time from the start of sending to the first byte of the
	// response, or to the end of the attempt if the response was not read to its
	// end; 0 if nothing was sent.
	firstByte time.Duration
	// leaving is set if the target reported that it is about to stop.
	leaving bool
	// retryAfter is for how long the target wants no requests from this VM; 0 if it
	// did not state a time.
	retryAfter time.Duration
	// reused is set if the connection had carried an earlier request.
	reused bool
}

// NewCompletedAttempt returns an attempt that received a complete response.
func NewCompletedAttempt(target *manifester.Target, response *Response) *Attempt {
	return &Attempt{
		target:   target,
		fault:    FaultNone,
		response: response,
	}
}

// NewFailedAttempt returns an attempt that produced no usable response. The outcome of
// the refusal states whether the request may have run.
func NewFailedAttempt(target *manifester.Target, fault Fault, refusal *Refusal) *Attempt {
	return &Attempt{
		target:  target,
		fault:   fault,
		refusal: refusal,
	}
}

// SetTiming sets the time to the first byte and whether the connection had carried
// an earlier request. It modifies the attempt and returns it.
func (a *Attempt) SetTiming(firstByte time.Duration, reused bool) *Attempt {
	a.firstByte = firstByte
	a.reused = reused

	return a
}

// SetNotice sets whether the target reported that it is about to stop, and for how
// long it wants no requests, or 0. It modifies the attempt and returns it.
func (a *Attempt) SetNotice(leaving bool, retryAfter time.Duration) *Attempt {
	a.leaving = leaving
	a.retryAfter = retryAfter

	return a
}

// Leaving reports whether the target stated that it is about to stop.
func (a *Attempt) Leaving() bool { return a.leaving }

// RetryAfter returns for how long the target wants no requests from this VM, or 0.
func (a *Attempt) RetryAfter() time.Duration { return a.retryAfter }

// Target returns the target of the attempt.
func (a *Attempt) Target() *manifester.Target { return a.target }

// Fault returns the kind of failure, or FaultNone for a complete response.
func (a *Attempt) Fault() Fault { return a.fault }

// Response returns the complete response, or nil.
func (a *Attempt) Response() *Response { return a.response }

// Status returns the HTTP status of the response, or 0 if there is none.
func (a *Attempt) Status() int {
	if a.response == nil {
		return 0
	}

	return a.response.Status()
}

// FirstByte returns the time from the start of sending to the first byte of the
// response, or to the end of the attempt if the response was not read to its
// end. It returns 0 if nothing was sent.
func (a *Attempt) FirstByte() time.Duration { return a.firstByte }

// Reused reports whether the connection had carried an earlier request.
func (a *Attempt) Reused() bool { return a.reused }

// MayHaveRun reports whether the target may have run the request.
func (a *Attempt) MayHaveRun() bool {
	return a.refusal == nil || a.refusal.Outcome() != OutcomeNotRun
}

// Err returns the *Refusal of a failed attempt, or nil for a complete response.
func (a *Attempt) Err() error {
	if a.refusal == nil {
		return nil
	}

	return a.refusal
}
