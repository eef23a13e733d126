// Package granter decides, on the VM that holds a range, how many tokens of a
// team's rate each asking VM is granted. A token is the right to admit one
// request before it expires.
//
// The bound that every part serves: in each window of length T the fleet admits
// no more than burst + rate x T of a team's requests. The proof, for one slot
// with rate r, burst b, lifetime D and capacity c = b - r x D:
//
//   - A token is charged at an instant at which the holder was active, and used
//     less than D after it was asked for, so less than D after the charge.
//     Uses in a window of length T were therefore charged in one of length T+D.
//   - One holder in one term charges at most c + r x (T+D) in it: a bucket of
//     capacity c.
//   - No two holders are active at one moment, and a bucket starts empty at an
//     instant at which its holder was active. A bucket that follows another adds
//     at most r x (its part of the window), never a second c. So emptiness
//     covers the tokens that were charged by the earlier holder and are still
//     unused: they lie in the same T+D.
//   - c + r x (T+D) = b + r x T, and the slots add up to burst + rate x T.
package granter

import (
	"strconv"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// maxSlots bounds the holders that share one team's rate.
	maxSlots = 3
	// slotBurst is the least burst, in requests, that each slot of several has.
	slotBurst = 8
	// maxLifetime and minLifetime bound the time from the asking for a token
	// to its use.
	maxLifetime = 500 * time.Millisecond
	minLifetime = 20 * time.Millisecond
	// heldBackShare is the part of a burst that lifetimes may hold back.
	heldBackShare = 0.25
	// clockDrift bounds the ratio of two VMs' clock rates.
	clockDrift = 1.01
)

// Plan is how one slot of a team is granted.
type Plan struct {
	// slots is the number of slots that the team's rate is divided into; at
	// least 1.
	slots int
	// rate is in tokens per second; above 0.
	rate float64
	// burst is the slot's part of the team's burst.
	burst float64
	// capacity is the most tokens kept; at least 1.
	capacity float64
	// lifetime is the time from the asking for a token to its expiry, on the
	// asker's clock; above 0.
	lifetime time.Duration
}

// PlanOf returns the plan of each slot of the team.
func PlanOf(t *manifester.Team) Plan {
	return planWith(t, min(maxSlots, max(1, int(t.Burst()/slotBurst))))
}

// planWith returns the plan of one of the given number of slots. A burst too
// small to hold a whole token beside what lifetimes hold back is granted at a
// lower rate instead: with capacity 1, n tokens take at least (n-1)/rate, and
// the bound holds for every n from 2 on if it holds for 2.
func planWith(t *manifester.Team, slots int) Plan {
	rate := t.Rate() / float64(slots)
	burst := t.Burst() / float64(slots)
	share := time.Duration(burst * heldBackShare / rate * float64(time.Second))
	lifetime := min(maxLifetime, max(minLifetime, share))
	capacity := burst - rate*lifetime.Seconds()*clockDrift
	if capacity < 1 {
		rate /= 2 - capacity
		capacity = 1
	}

	return Plan{
		slots:    slots,
		rate:     rate,
		burst:    burst,
		capacity: capacity,
		lifetime: lifetime,
	}
}

// Slots returns the number of slots of the team.
func (p Plan) Slots() int { return p.slots }

// Rate returns the slot's rate in tokens per second.
func (p Plan) Rate() float64 { return p.rate }

// Capacity returns the most tokens that the slot keeps.
func (p Plan) Capacity() float64 { return p.capacity }

// Lifetime returns the time from the asking for a token to its expiry.
func (p Plan) Lifetime() time.Duration { return p.lifetime }

// SlotRange returns the range whose holder grants the slot.
func SlotRange(team string, slot int) member.Range {
	return member.RangeOf(team + "/" + strconv.Itoa(slot))
}
