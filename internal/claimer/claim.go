// Package claimer ensures that a request with an idempotency key runs at most
// once in the fleet. The holder of a key's range grants one claim for the key
// before the request is sent. Claims are stored in a stream of the log, and
// during a log outage in the memory of the holder and the sender. The package
// does not depend on the encoding of messages and records.
package claimer

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
)

// ID identifies one claim; it is unique in the fleet.
type ID string

// Claim is a VM's request for the right to send one request with an idempotency key.
type Claim struct {
	id   ID
	team string
	key  string
	// fingerprint is the digest of the request. It distinguishes different
	// requests that use the same key.
	fingerprint string
	sender      member.ID
	// incarnation identifies the start of the sender's process.
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

// ID returns the claim's unique id.
func (c Claim) ID() ID { return c.id }

// Team returns the team of the caller.
func (c Claim) Team() string { return c.team }

// Key returns the caller's idempotency key.
func (c Claim) Key() string { return c.key }

// Fingerprint returns the digest of the request.
func (c Claim) Fingerprint() string { return c.fingerprint }

// Sender returns the VM that sends the request to a target.
func (c Claim) Sender() member.ID { return c.sender }

// Incarnation returns the incarnation of the sender.
func (c Claim) Incarnation() member.Incarnation { return c.incarnation }

// Range returns the range whose holder decides on the claim.
func (c Claim) Range() member.Range {
	return member.RangeOf("claim/" + c.team + "/" + c.key)
}

// teamKey identifies an idempotency key in the fleet: keys of different teams
// are independent.
type teamKey struct {
	team string
	key  string
}

func (c Claim) teamKey() teamKey {
	return teamKey{
		team: c.team,
		key:  c.key,
	}
}

// Settlement is the outcome of a claimed request.
type Settlement struct {
	claim Claim
	// released is set if the request is known not to have run.
	released bool
	// answer is the complete answer to the request, or nil.
	answer *handler.Response
}

// NewReleaseSettlement returns the settlement of a request that is known not to have
// run.
func NewReleaseSettlement(c Claim) Settlement {
	return Settlement{
		claim:    c,
		released: true,
	}
}

// NewAnswerSettlement returns the settlement of a request that may have run. The
// answer is nil if no complete one is available.
func NewAnswerSettlement(c Claim, answer *handler.Response) Settlement {
	return Settlement{
		claim:  c,
		answer: answer,
	}
}

// Claim returns the settled claim.
func (s Settlement) Claim() Claim { return s.claim }

// Released reports whether the request is known not to have run.
func (s Settlement) Released() bool { return s.released }

// Answer returns the complete answer, or nil.
func (s Settlement) Answer() *handler.Response { return s.answer }

// Verdict says what the holder allows the sender of a claim.
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
	// VerdictSent means that an earlier claim on the key exists, so that a
	// request with the key may have been sent, or that this claim was released
	// before the decision, so that its sender must not send.
	VerdictSent
	// VerdictAnswered means that the answer to the earlier request is available.
	VerdictAnswered
	// VerdictMismatch means that the key was claimed for a different request.
	VerdictMismatch
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"unavailable", "not-holder", "granted", "sent", "answered", "mismatch"}[v]
}

// Decision is the holder's reply to a claim.
type Decision struct {
	verdict Verdict
	// durable is set if a granted claim is in the log.
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

// Durable reports whether a granted claim is in the log.
func (d Decision) Durable() bool { return d.durable }

// Answer returns the answer to the earlier request, or nil.
func (d Decision) Answer() *handler.Response { return d.answer }

// Batch is the content of one record of the claims stream.
type Batch struct {
	claims   []Claim
	releases []Claim
}

// NewBatch returns a batch of new claims and of released claims.
func NewBatch(claims, releases []Claim) Batch {
	return Batch{
		claims:   claims,
		releases: releases,
	}
}

// Claims returns the new claims.
func (b Batch) Claims() []Claim { return b.claims }

// Releases returns the released claims.
func (b Batch) Releases() []Claim { return b.releases }

// idGenerator generates claim ids from a random prefix and a counter.
type idGenerator struct {
	prefix  string
	counter atomic.Uint64
}

// idPrefixBytes is the number of random bytes that make the ids of a process unique.
const idPrefixBytes = 12

func newIDGenerator() *idGenerator {
	var b [idPrefixBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error.

	return &idGenerator{
		prefix: hex.EncodeToString(b[:]) + "-",
	}
}

func (g *idGenerator) next() ID {
	return ID(g.prefix + strconv.FormatUint(g.counter.Add(1), 10))
}
