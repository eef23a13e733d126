package pacer

import (
	"math"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// The fleet may send at most 1.5 x rate + 8 requests in any second to a cold target with
// the rate. The constants below divide that.
const (
	// usedShare is the fraction of the rate that the fleet uses. The VMs get their tokens at
	// random times, so that more of them than the average come within one second, and the
	// fleet may be up to 1.75 times as large as a VM knows.
	usedShare = 0.6
	// smallFleet is the number of VMs up to which the whole rate is used: so few cannot
	// exceed the bound, even if each of them misses one other.
	smallFleet = 4
	// A fleet of up to spareTokens + spareShare x rate VMs stays within the bound even
	// where each VM holds a token and all use them at once.
	spareTokens = 8
	spareShare  = 0.4
	// In a larger fleet a token is lost if it is not used soon, so that the VMs hold
	// heldTokens + heldShare x rate tokens on average, however long there were no requests.
	heldTokens = 1
	heldShare  = 0.3
	// maxPeriod bounds the time between two tokens.
	maxPeriod = 24 * time.Hour
)

// pace is how often a VM gets a token for one cold target.
type pace struct {
	// perSecond is the number of tokens per second; above 0.
	perSecond float64
	// lifetime is the time after which an unused token is lost; 0 where it is kept, and
	// no other one comes before it is used.
	lifetime time.Duration
}

// newPace returns the pace of one of a number of VMs. The rate must be above 0.
func newPace(rate, vms float64) pace {
	if vms <= smallFleet {
		return pace{
			perSecond: rate / vms,
		}
	}
	p := pace{
		perSecond: usedShare * rate / vms,
	}
	if vms > spareTokens+spareShare*rate {
		p.lifetime = seconds((heldTokens + heldShare*rate) / (usedShare * rate))
	}

	return p
}

// bucket holds at most one token for a cold target.
type bucket struct {
	service string
	// level is the part of the next token that has come, from 0 to 1.
	level float64
	// updated is the instant to which level and filledAt refer. It never goes back, as time
	// would then count twice.
	updated timer.Instant
	// filledAt is when the token came; 0 where there is none.
	filledAt timer.Instant
	// asked is when there was last a request for the target.
	asked timer.Instant
}

func newBucket(now timer.Instant, service string, level float64) *bucket {
	return &bucket{
		service: service,
		level:   level,
		updated: now,
		asked:   now,
	}
}

// full reports whether there is a token.
func (b bucket) full() bool { return b.filledAt != 0 }

// at returns the bucket as it is at the instant, or as it was last updated where the instant
// is earlier: requests and updates take the time before they get the lock. Where tokens are
// lost, the time between two tokens does not depend on when they are used, since VMs that all
// use theirs at one time would otherwise all get the next ones at one time.
func (b bucket) at(now timer.Instant, p pace) bucket {
	now = max(now, b.updated)
	if b.full() && p.lifetime == 0 {
		b.level, b.updated = 0, now

		return b
	}
	b.level += p.perSecond * now.Sub(b.updated).Seconds()
	b.updated = now
	if b.level >= 1 {
		b.level -= math.Floor(b.level)
		b.filledAt = now.Add(-seconds(b.level / p.perSecond))
	}
	if p.lifetime > 0 && b.full() && now.Sub(b.filledAt) > p.lifetime {
		b.filledAt = 0
	}

	return b
}

// wait returns the time until there is a token.
func (b bucket) wait(p pace) time.Duration {
	if b.full() {
		return 0
	}

	return seconds((1 - b.level) / p.perSecond)
}
