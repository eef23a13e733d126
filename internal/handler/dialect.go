package handler

import "strings"

// Dialect holds what differs between the HTTP interfaces that the fleet supports:
// the names of the header fields that callers, the fleet and targets exchange,
// and rules for paths, response framing and waiting times.
type Dialect struct {
	key          string
	timeout      string
	team         string
	requestID    string
	attemptID    string
	signature    string
	expectTarget string
	notRun       string
	leaving      string
	retryAfter   string
	verbatim     bool
	unframed     bool
	fractions    bool
	unencoded    bool
}

// DialectSpec lists the attributes of a Dialect. A header field whose name is "" is
// not used.
type DialectSpec struct {
	// Key names the field with the caller's key.
	Key string
	// Timeout names the field with a time in milliseconds: in a caller's request,
	// how long the caller waits; in a request to a target, the time left until
	// the deadline.
	Timeout string
	// Team names the field that tells a target the caller's team.
	Team string
	// RequestID names the field that identifies a caller's request; the target
	// returns it in its response.
	RequestID string
	// AttemptID names the field that identifies an attempt at a target, which returns
	// it in its response. Where it is set, a connection carries another request only if
	// the target returned the id of the last attempt on it: a late second copy of that
	// response is then recognized.
	AttemptID string
	// Signature names the field that shows that a response comes from a target.
	Signature string
	// ExpectTarget names the field with the target that a request is meant for;
	// any other target refuses the request with 421.
	ExpectTarget string
	// NotRun names the field by which a target reports that it did not run the
	// request.
	NotRun string
	// Leaving names the field with the value "1" in every response of a target that
	// is about to stop and must get no further requests.
	Leaving string
	// RetryAfter names the field in which a target that refuses a request with 503
	// states for how long it wants no requests from this VM.
	RetryAfter string
	// Verbatim is set if paths are matched and forwarded as received.
	Verbatim bool
	// Unframed is set if a target's response without a length is accepted and
	// ends with its connection.
	Unframed bool
	// Fractions is set if the waiting time sent to callers may have a fraction
	// of a second.
	Fractions bool
	// Unencoded is set if the bodies of targets have no content coding, so that a
	// successful response with one is not that of a target.
	Unencoded bool
}

// NewDialect returns a Dialect with the given attributes.
func NewDialect(s DialectSpec) *Dialect {
	return &Dialect{
		key:          s.Key,
		timeout:      s.Timeout,
		team:         s.Team,
		requestID:    s.RequestID,
		attemptID:    s.AttemptID,
		signature:    s.Signature,
		expectTarget: s.ExpectTarget,
		notRun:       s.NotRun,
		leaving:      s.Leaving,
		retryAfter:   s.RetryAfter,
		verbatim:     s.Verbatim,
		unframed:     s.Unframed,
		fractions:    s.Fractions,
		unencoded:    s.Unencoded,
	}
}

// Key returns the name of the field with the caller's key.
func (d *Dialect) Key() string { return d.key }

// Timeout returns the name of the field with the caller's timeout or, in a
// request to a target, the time left until the deadline.
func (d *Dialect) Timeout() string { return d.timeout }

// Team returns the name of the field with the caller's team, or "".
func (d *Dialect) Team() string { return d.team }

// RequestID returns the name of the field that identifies a request, or "".
func (d *Dialect) RequestID() string { return d.requestID }

// AttemptID returns the name of the field that identifies an attempt, or "".
func (d *Dialect) AttemptID() string { return d.attemptID }

// Signature returns the name of the field that shows that a response comes from
// a target, or "".
func (d *Dialect) Signature() string { return d.signature }

// ExpectTarget returns the name of the field with the intended target, or "".
func (d *Dialect) ExpectTarget() string { return d.expectTarget }

// NotRun returns the name of the field by which a target reports that it did
// not run the request, or "".
func (d *Dialect) NotRun() string { return d.notRun }

// Leaving returns the name of the field by which a target reports that it is
// about to stop, or "".
func (d *Dialect) Leaving() string { return d.leaving }

// RetryAfter returns the name of the field by which a target that refuses a
// request states for how long it wants no requests, or "".
func (d *Dialect) RetryAfter() string { return d.retryAfter }

// Exchanges reports whether the fleet and targets tell each other something by the field
// with the name. A caller or a target must not be able to suppress it.
func (d *Dialect) Exchanges(name string) bool {
	for _, n := range []string{d.team, d.requestID, d.attemptID, d.signature, d.expectTarget, d.notRun, d.leaving, d.retryAfter} {
		if n != "" && strings.EqualFold(n, name) {
			return true
		}
	}

	return false
}

// Verbatim reports whether paths are matched and forwarded as received.
func (d *Dialect) Verbatim() bool { return d.verbatim }

// Unframed reports whether a response without a length is accepted and ends
// with its connection.
func (d *Dialect) Unframed() bool { return d.unframed }

// Fractions reports whether the waiting time sent to callers may have a
// fraction of a second.
func (d *Dialect) Fractions() bool { return d.fractions }

// DefaultDialect returns the Dialect of lagoonkeel's own HTTP interface.
func DefaultDialect() *Dialect {
	return NewDialect(DialectSpec{
		Key:        "Lagoonkeel-Key",
		Timeout:    "Lagoonkeel-Timeout-Ms",
		AttemptID:  "Lagoonkeel-Attempt-Id",
		RetryAfter: "Retry-After",
	})
}

// Unencoded reports whether a successful response with a content coding is not that of a
// target.
func (d *Dialect) Unencoded() bool { return d.unencoded }
