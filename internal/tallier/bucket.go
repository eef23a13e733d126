package tallier

import (
	"math"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// initialFraction is the fraction of the burst, or of the extra use of a ratio,
	// that a VM takes as unused when it starts: others may have used the rest, or
	// this VM itself before a restart.
	initialFraction = 0.25
	// demandTimeConstant is the time constant by which the demand decays that sets
	// the shares of the VMs.
	demandTimeConstant = 2 * time.Second
	// minShare is the least share of a VM, as a part of an equal share; a VM without
	// demand keeps it.
	minShare = 0.5
	// debtFactor bounds, in bursts, how far the level may fall below 0. Use beyond that
	// is not made up for later.
	debtFactor = 2
	// reportDelay is the time that may pass before this VM knows of use by another.
	reportDelay = 700 * time.Millisecond
)

// bucket is the limiter of a rate and a burst: a token bucket for the whole fleet,
// of which each VM keeps a copy.
type bucket struct {
	rate  float64
	burst float64
	// level is what the fleet may still use; below 0 where VMs used more than was
	// left.
	level   float64
	updated timer.Instant
	// ownDemand and remoteDemand are the requests of this VM and of all others, with
	// weights that decay with age.
	ownDemand    float64
	remoteDemand float64
	// usedInRound is what this VM used in the present round.
	usedInRound float64
	// pendingRetries is the number of refused requests of this VM that are expected
	// to be sent again; it falls at this VM's share of the rate.
	pendingRetries float64
}

func newBucket(l Limit, began, now timer.Instant, f fleet) *bucket {
	return &bucket{
		rate:    l.rate,
		burst:   l.burst,
		level:   min(l.burst, l.burst*initialFraction+l.rate*f.heardFraction()*now.Sub(began).Seconds()),
		updated: now,
	}
}

func (b *bucket) setLimit(l Limit) {
	b.rate = l.rate
	b.burst = l.burst
}

func (b *bucket) advance(now timer.Instant, f fleet) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	maxLevel := math.Max(1, b.burst*f.heardFraction())
	b.level = math.Min(b.level+b.rate*f.heardFraction()*elapsed.Seconds(), maxLevel)
	decay := math.Exp(-float64(elapsed) / float64(demandTimeConstant))
	b.pendingRetries = math.Max(0, b.pendingRetries-b.rate*f.heardFraction()*b.demandShare(f)*elapsed.Seconds())
	b.ownDemand *= decay
	b.remoteDemand *= decay
}

func (b *bucket) addOwn(requested, used float64) {
	b.ownDemand += requested
	b.usedInRound += used
	b.subtract(used)
}

func (b *bucket) addRemote(requested, used float64) {
	b.remoteDemand += requested
	b.subtract(used)
}

func (b *bucket) subtract(n float64) {
	b.level = math.Max(b.level-n, -debtFactor*math.Max(1, b.burst))
}

func (b *bucket) startRound() { b.usedInRound = 0 }

// recent returns 0, as a bucket keeps no history.
func (*bucket) recent(time.Duration) (requested, used float64) { return 0, 0 }

// remaining ignores the reserve: only limits of a ratio have one.
func (b *bucket) remaining(f fleet, _ Reserve) (left, part float64) {
	return b.level, b.allowed(f) - b.usedInRound
}

// allowed returns what this VM may use in the present round: its share of the
// level, or the level less what all others are likely to use before their reports
// arrive, whichever is more; at least 1.
func (b *bucket) allowed(f fleet) float64 {
	unreported := b.remoteDemand / demandTimeConstant.Seconds() * reportDelay.Seconds()

	return math.Max(1, math.Max(b.level*b.demandShare(f), b.level-unreported))
}

// demandShare returns this VM's share of the level by its part of the demand.
func (b *bucket) demandShare(f fleet) float64 {
	floor := minShare / float64(f.heard)
	total := b.ownDemand + b.remoteDemand
	if total <= 0 {
		return floor
	}

	return math.Max(floor, b.ownDemand/total)
}

// refuse returns the time, at most maxRetryAfter, until the level is likely to cover this
// request and the refused ones that are expected before it. Those of the other VMs
// are not known; they are estimated from those of this VM by its share of the demand.
func (b *bucket) refuse(f fleet) time.Duration {
	rate := b.rate * f.heardFraction()
	if rate <= 0 {
		return maxRetryAfter
	}
	missing := math.Max(0, 1-b.level) + b.pendingRetries/b.demandShare(f)
	retryAfter := time.Duration(math.Min(missing/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	if retryAfter < maxRetryAfter {
		b.pendingRetries++
	}

	return retryAfter
}
