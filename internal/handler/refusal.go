package handler

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome states whether a request may have run.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeNotRun means that no byte of the request reached an upstream, or
	// that the upstream itself reported that it did not run the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// OutcomeField is the header field that carries the outcome in every response
// that was not produced by an upstream.
const OutcomeField = "Lagoonkeel-Outcome"

// EvacuatedBasis precedes the evacuated data centres, separated by commas, in the basis of
// a refusal for lack of a target.
const EvacuatedBasis = "evacuated="

// Code is the stable identifier of a kind of refusal.
type Code string

// The kinds of refusal.
const (
	CodeInternal          Code = "internal"
	CodeNotReady          Code = "not-ready"
	CodeStopping          Code = "stopping"
	CodeBadRequest        Code = "bad-request"
	CodeTooLarge          Code = "too-large"
	CodeHeaderTooLarge    Code = "header-too-large"
	CodeSlowRequest       Code = "slow-request"
	CodeNoRoute           Code = "no-route"
	CodeMethodNotAllowed  Code = "method-not-allowed"
	CodeKeyMissing        Code = "key-missing"
	CodeKeyUnknown        Code = "key-unknown"
	CodeKeyMisplaced      Code = "key-misplaced"
	CodeKeysStale         Code = "keys-stale"
	CodeOverRate          Code = "over-rate"
	CodeRateUnknown       Code = "rate-unknown"
	CodeOverload          Code = "overload"
	CodeNoTarget          Code = "no-target"
	CodeConnect           Code = "upstream-connect"
	CodeUpstream          Code = "upstream-failed"
	CodeShed              Code = "upstream-shed"
	CodeDraining          Code = "upstream-draining"
	CodeTimeout           Code = "timeout"
	CodeQuarantined       Code = "quarantined"
	CodeAlreadySent       Code = "already-sent"
	CodeClaimMismatch     Code = "idempotency-key-reused"
	CodeClaimsUnavailable Code = "claims-unavailable"
)

// statuses maps each code to its HTTP status.
var statuses = map[Code]int{
	CodeInternal:          http.StatusInternalServerError,
	CodeNotReady:          http.StatusServiceUnavailable,
	CodeStopping:          http.StatusServiceUnavailable,
	CodeBadRequest:        http.StatusBadRequest,
	CodeTooLarge:          http.StatusRequestEntityTooLarge,
	CodeHeaderTooLarge:    http.StatusRequestHeaderFieldsTooLarge,
	CodeSlowRequest:       http.StatusRequestTimeout,
	CodeNoRoute:           http.StatusNotFound,
	CodeMethodNotAllowed:  http.StatusMethodNotAllowed,
	CodeKeyMissing:        http.StatusUnauthorized,
	CodeKeyUnknown:        http.StatusUnauthorized,
	CodeKeyMisplaced:      http.StatusBadRequest,
	CodeKeysStale:         http.StatusServiceUnavailable,
	CodeOverRate:          http.StatusTooManyRequests,
	CodeRateUnknown:       http.StatusServiceUnavailable,
	CodeOverload:          http.StatusServiceUnavailable,
	CodeNoTarget:          http.StatusServiceUnavailable,
	CodeConnect:           http.StatusBadGateway,
	CodeUpstream:          http.StatusBadGateway,
	CodeShed:              http.StatusServiceUnavailable,
	CodeDraining:          http.StatusServiceUnavailable,
	CodeTimeout:           http.StatusGatewayTimeout,
	CodeQuarantined:       http.StatusServiceUnavailable,
	CodeAlreadySent:       http.StatusConflict,
	CodeClaimMismatch:     http.StatusUnprocessableEntity,
	CodeClaimsUnavailable: http.StatusServiceUnavailable,
}

// Codes returns every kind of refusal, in no particular order.
func Codes() []Code {
	codes := make([]Code, 0, len(statuses))
	for c := range statuses {
		codes = append(codes, c)
	}

	return codes
}

// Status returns the HTTP status of the code.
func (c Code) Status() int {
	if s, ok := statuses[c]; ok {
		return s
	}

	return http.StatusInternalServerError
}

// Refusal is the error for a request to which the proxy responds itself because
// there is no response of an upstream to pass on.
type Refusal struct { //nolint:errname // A refusal is a response to the caller as well as an error.
	code    Code
	reason  string
	outcome Outcome
	// basis holds the data behind the decision, for the log; "" if the reason is
	// enough.
	basis string
	// retryAfter is 0 if the caller is not told how long to wait.
	retryAfter time.Duration
}

// NewRefusal returns the refusal of a request that did not run.
func NewRefusal(code Code, reason string) *Refusal {
	return &Refusal{
		code:    code,
		reason:  reason,
		outcome: OutcomeNotRun,
	}
}

// NewUnknownOutcome returns the refusal of a request that may have run.
func NewUnknownOutcome(code Code, reason string) *Refusal {
	return &Refusal{
		code:    code,
		reason:  reason,
		outcome: OutcomeUnknown,
	}
}

// WithRetryAfter returns a copy with the time that the caller should wait
// before a retry.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.retryAfter = d

	return &c
}

// WithBasis returns a copy with the data behind the decision, for the log.
func (r *Refusal) WithBasis(text string) *Refusal {
	c := *r
	c.basis = text

	return &c
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.code, r.reason)
}

// Code returns the kind of refusal.
func (r *Refusal) Code() Code { return r.code }

// Status returns the HTTP status of the refusal. If the request may have run, a
// status that implies that it did not is replaced by 502.
func (r *Refusal) Status() int {
	s := r.code.Status()
	if r.outcome == OutcomeNotRun {
		return s
	}
	switch s {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return http.StatusBadGateway
	default:
		return s
	}
}

// Reason returns the text for the caller. It contains no credentials.
func (r *Refusal) Reason() string { return r.reason }

// Basis returns the data behind the decision, for the log, or "".
func (r *Refusal) Basis() string { return r.basis }

// Outcome returns whether the request may have run.
func (r *Refusal) Outcome() Outcome { return r.outcome }

// RetryAfter returns how long the caller should wait before a retry, or 0 if no
// time is given.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }
