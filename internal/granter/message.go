package granter

import "time"

// TokenRequest is one VM's request for tokens of a slot.
type TokenRequest struct {
	team string
	// slot is from 0 to the team's number of slots - 1.
	slot int
	// needed is the number of callers' requests that wait for a token; spare is the
	// number of tokens requested beyond them.
	needed int
	spare  int
}

// NewTokenRequest returns a request for tokens of the team's slot.
func NewTokenRequest(team string, slot, needed, spare int) TokenRequest {
	return TokenRequest{
		team:   team,
		slot:   slot,
		needed: needed,
		spare:  spare,
	}
}

// Team returns the team's name.
func (r TokenRequest) Team() string { return r.team }

// Slot returns the number of the slot.
func (r TokenRequest) Slot() int { return r.slot }

// Needed returns the number of callers' requests that wait for a token.
func (r TokenRequest) Needed() int { return r.needed }

// Spare returns the number of tokens requested beyond the needed ones.
func (r TokenRequest) Spare() int { return r.spare }

// State is how a request for tokens was decided.
type State int

// The states of a reply.
const (
	// StateGranted means that the holder decided; it may have granted no tokens.
	StateGranted State = iota
	// StateNotHolder means that the VM is not the active holder of the range.
	StateNotHolder
	// StateUnknownSlot means that the VM knows no such team or slot.
	StateUnknownSlot
)

// Reply is the response to a request for tokens.
type Reply struct {
	state State
	// tokens is the number of tokens granted; at least 0.
	tokens int
	// lifetime is the time from the request for the tokens to their expiry, on the
	// requesting VM's clock.
	lifetime time.Duration
	// wait is the time until the holder has a token; 0 if it has one now.
	wait time.Duration
}

// NewReply returns the reply of an active holder.
func NewReply(tokens int, lifetime, wait time.Duration) Reply {
	return Reply{
		state:    StateGranted,
		tokens:   tokens,
		lifetime: lifetime,
		wait:     wait,
	}
}

// NewRejection returns the reply of a VM that cannot decide.
func NewRejection(s State) Reply {
	return Reply{
		state: s,
	}
}

// State returns how the request was decided.
func (r Reply) State() State { return r.state }

// Tokens returns the number of tokens granted.
func (r Reply) Tokens() int { return r.tokens }

// Lifetime returns the time from the request for the tokens to their expiry, on the
// requesting VM's clock.
func (r Reply) Lifetime() time.Duration { return r.lifetime }

// Wait returns the time until the holder has a token.
func (r Reply) Wait() time.Duration { return r.wait }
