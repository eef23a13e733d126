// Package granter decides, on the VM that holds a range, how many tokens of a
// team's rate each requesting VM is granted. A token is the right to admit one
// request before it expires.
//
// The rate limit is this bound: in each window of length T the fleet admits at
// most burst + rate x T of a team's requests. The proof, for one slot with rate r,
// burst b, lifetime D on the holder's clock and capacity c = b - r x D:
//
//   - A token is taken from the bucket (charged) at an instant at which the holder
//     was active, and used less than D after it was requested, so less than D after
//     the charge. The tokens used in a window of length T were therefore charged in
//     one of length T+D.
//   - One holder in one term charges at most c + r x (T+D) in that window, as its
//     bucket has capacity c.
//   - No two holders are active at one instant, and a bucket starts empty at an
//     instant at which its holder was active. A bucket that follows another one
//     therefore adds at most r x (its part of the window), never a second c.
//     Tokens that the earlier holder charged and that are still unused are
//     covered, as they were charged in the same window of length T+D.
//   - c + r x (T+D) = b + r x T, and the slots add up to burst + rate x T.
package granter

import (
	"strconv"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// maxSlots bounds the slots of a team, and so the holders that share its rate.
	maxSlots = 3
	// minSlotBurst is the least burst, in requests, of each slot of a team that has
	// several slots.
	minSlotBurst = 8
	// maxLifetime and minLifetime bound the time from the request for a token to its
	// expiry.
	maxLifetime = 500 * time.Millisecond
	minLifetime = 20 * time.Millisecond
	// outstandingShare is the part of a burst that is reserved for tokens granted but
	// not yet expired, unless minLifetime needs more.
	outstandingShare = 0.25
	// maxClockRateRatio bounds the ratio of the rates of two VMs' clocks.
	maxClockRateRatio = 1.01
)

// SlotLimits is the rate limit of one slot of a team.
type SlotLimits struct {
	// slots is the number of slots into which the team's rate is divided; at least 1.
	slots int
	// rate is in tokens per second; above 0.
	rate float64
	// burst is the slot's part of the team's burst.
	burst float64
	// capacity is the largest number of tokens in the bucket; at least 1.
	capacity float64
	// lifetime is the time from the request for a token to its expiry, on the
	// requesting VM's clock; above 0.
	lifetime time.Duration
}

// SlotLimitsOf returns the rate limit of each slot of the team.
func SlotLimitsOf(t *manifester.Team) SlotLimits {
	return limitsWith(t, min(maxSlots, max(1, int(t.Burst()/minSlotBurst))))
}

// limitsWith returns the rate limit of each of the given number of slots. A burst
// that is too small for a whole token beside the reserved part is granted at a lower
// rate instead: with capacity 1, n tokens take at least (n-1)/rate, and the bound
// holds for every n from 2 on if it holds for 2.
func limitsWith(t *manifester.Team, slots int) SlotLimits {
	rate := t.Rate() / float64(slots)
	burst := t.Burst() / float64(slots)
	affordable := time.Duration(burst * outstandingShare / rate * float64(time.Second))
	lifetime := min(maxLifetime, max(minLifetime, affordable))
	capacity := burst - rate*lifetime.Seconds()*maxClockRateRatio
	if capacity < 1 {
		rate /= 2 - capacity
		capacity = 1
	}

	return SlotLimits{
		slots:    slots,
		rate:     rate,
		burst:    burst,
		capacity: capacity,
		lifetime: lifetime,
	}
}

// Slots returns the number of slots of the team.
func (l SlotLimits) Slots() int { return l.slots }

// Rate returns the slot's rate in tokens per second.
func (l SlotLimits) Rate() float64 { return l.rate }

// Capacity returns the largest number of tokens in the slot's bucket.
func (l SlotLimits) Capacity() float64 { return l.capacity }

// Lifetime returns the time from the request for a token to its expiry, on the
// requesting VM's clock.
func (l SlotLimits) Lifetime() time.Duration { return l.lifetime }

// SlotRange returns the range whose holder grants the slot.
func SlotRange(team string, slot int) member.Range {
	return member.RangeOf(team + "/" + strconv.Itoa(slot))
}
