// Package claimer makes sure that a request with an idempotency key runs at
// most once in the whole fleet. The holder of a key's range grants one claim
// for the key before the request is sent; claims are kept in a stream of the
// log, and during a log outage in the memory of holder and sender. The package
// knows no encoding.
package claimer

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
)

// ID names one claim; no two claims of the fleet have the same.
type ID string

// Claim is the right of one VM to send one request with an idempotency key.
type Claim struct {
	id   ID
	team string
	key  string
	// fingerprint tells requests of the same key apart.
	fingerprint string
	sender      member.ID
	// incarnation is the sender's process start.
	incarnation member.Incarnation
}

// Spec lists the attributes of a claim.
type Spec struct {
	ID          ID
	Team        string
	Key         string
	Fingerprint string
	Sender      member.ID
	Incarnation member.Incarnation
}

// NewClaim returns a claim.
func NewClaim(s Spec) Claim {
	return Claim{
		id:          s.ID,
		team:        s.Team,
		key:         s.Key,
		fingerprint: s.Fingerprint,
		sender:      s.Sender,
		incarnation: s.Incarnation,
	}
}

// ID returns the unique id.
func (c Claim) ID() ID { return c.id }

// Team returns the team of the caller.
func (c Claim) Team() string { return c.team }

// Key returns the caller's idempotency key.
func (c Claim) Key() string { return c.key }

// Fingerprint returns the digest of the request.
func (c Claim) Fingerprint() string { return c.fingerprint }

// Sender returns the VM that sends the request.
func (c Claim) Sender() member.ID { return c.sender }

// Incarnation returns the sender's process start.
func (c Claim) Incarnation() member.Incarnation { return c.incarnation }

// Range returns the range whose holder decides about the claim.
func (c Claim) Range() member.Range {
	return member.RangeOf("claim/" + c.team + "/" + c.key)
}

// name is the key of a claim within the fleet.
type name struct {
	team string
	key  string
}

func (c Claim) name() name {
	return name{
		team: c.team,
		key:  c.key,
	}
}

// Settlement tells what became of a claimed request.
type Settlement struct {
	claim Claim
	// released is set if the request verifiably did not run.
	released bool
	// answer is the whole answer of the request; nil if there is none.
	answer *handler.Response
}

// NewRelease returns the settlement of a request that did not run.
func NewRelease(c Claim) Settlement {
	return Settlement{
		claim:    c,
		released: true,
	}
}

// NewAnswer returns the settlement of a request that got a whole answer.
func NewAnswer(c Claim, answer *handler.Response) Settlement {
	return Settlement{
		claim:  c,
		answer: answer,
	}
}

// Claim returns the settled claim.
func (s Settlement) Claim() Claim { return s.claim }

// Released reports whether the request verifiably did not run.
func (s Settlement) Released() bool { return s.released }

// Answer returns the whole answer, or nil.
func (s Settlement) Answer() *handler.Response { return s.answer }

// Verdict is the decision about a claim.
type Verdict int

// The verdicts.
const (
	// VerdictUnavailable means that the holder cannot know whether the key was
	// claimed before.
	VerdictUnavailable Verdict = iota
	// VerdictNotHolder means that the VM asked does not hold the range.
	VerdictNotHolder
	// VerdictGranted means that the sender may send the request, once.
	VerdictGranted
	// VerdictSent means that a request with the key was sent before.
	VerdictSent
	// VerdictAnswered means that the answer to that request is at hand.
	VerdictAnswered
	// VerdictMismatch means that the key belongs to another request.
	VerdictMismatch
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"unavailable", "not-holder", "granted", "sent", "answered", "mismatch"}[v]
}

// Decision is a verdict with what belongs to it.
type Decision struct {
	verdict Verdict
	// durable is set if a granted claim stands in the log.
	durable bool
	// answer is set for VerdictAnswered only.
	answer *handler.Response
}

// NewDecision returns a decision.
func NewDecision(v Verdict, durable bool, answer *handler.Response) Decision {
	return Decision{
		verdict: v,
		durable: durable,
		answer:  answer,
	}
}

// Verdict returns the verdict.
func (d Decision) Verdict() Verdict { return d.verdict }

// Durable reports whether a granted claim stands in the log.
func (d Decision) Durable() bool { return d.durable }

// Answer returns the kept answer, or nil.
func (d Decision) Answer() *handler.Response { return d.answer }

// Batch is what one record of the claims stream holds.
type Batch struct {
	claims   []Claim
	releases []Claim
}

// NewBatch returns the batch of claims made and claims released.
func NewBatch(claims, releases []Claim) Batch {
	return Batch{
		claims:   claims,
		releases: releases,
	}
}

// Claims returns the claims made.
func (b Batch) Claims() []Claim { return b.claims }

// Releases returns the claims released.
func (b Batch) Releases() []Claim { return b.releases }

// names makes unique ids.
type names struct {
	prefix string
	last   atomic.Uint64
}

// idBytes is the number of random bytes that tell processes apart.
const idBytes = 12

func newNames() *names {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand never fails on the machines of a fleet.

	return &names{
		prefix: hex.EncodeToString(b[:]) + "-",
	}
}

func (n *names) next() ID {
	return ID(n.prefix + strconv.FormatUint(n.last.Add(1), 10))
}
