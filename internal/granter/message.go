package granter

import "time"

// Ask is one VM's wish for tokens of a slot.
type Ask struct {
	team string
	// slot is from 0 to the team's slots - 1.
	slot int
	// needed is the number of requests that wait for a token; spare is the
	// number of tokens wished beyond them.
	needed int
	spare  int
}

// NewAsk returns a wish for tokens of the team's slot.
func NewAsk(team string, slot, needed, spare int) Ask {
	return Ask{
		team:   team,
		slot:   slot,
		needed: needed,
		spare:  spare,
	}
}

// Team returns the team's name.
func (a Ask) Team() string { return a.team }

// Slot returns the number of the slot.
func (a Ask) Slot() int { return a.slot }

// Needed returns the number of requests that wait.
func (a Ask) Needed() int { return a.needed }

// Spare returns the number of tokens wished beyond the needed ones.
func (a Ask) Spare() int { return a.spare }

// State tells how an ask was decided.
type State int

// The states of a reply.
const (
	// StateGranted means that the holder decided; it may have granted nothing.
	StateGranted State = iota
	// StateNotHolder means that the VM is not the active holder of the range.
	StateNotHolder
	// StateUnknownSlot means that the VM knows no such team or slot.
	StateUnknownSlot
)

// Reply is the answer to an ask.
type Reply struct {
	state State
	// tokens is the number of tokens granted; at least 0.
	tokens int
	// lifetime counts from the asking, on the asker's clock.
	lifetime time.Duration
	// wait is the time until the holder has a token; 0 if it has one now.
	wait time.Duration
}

// NewReply returns the answer of an active holder.
func NewReply(tokens int, lifetime, wait time.Duration) Reply {
	return Reply{
		state:    StateGranted,
		tokens:   tokens,
		lifetime: lifetime,
		wait:     wait,
	}
}

// NewRejection returns the answer of a VM that cannot decide.
func NewRejection(s State) Reply {
	return Reply{
		state: s,
	}
}

// State returns how the ask was decided.
func (r Reply) State() State { return r.state }

// Tokens returns the number of tokens granted.
func (r Reply) Tokens() int { return r.tokens }

// Lifetime returns the time from the asking to the tokens' expiry.
func (r Reply) Lifetime() time.Duration { return r.lifetime }

// Wait returns the time until the holder has a token.
func (r Reply) Wait() time.Duration { return r.wait }
