package ejector

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// slowFactor is the multiple of a service's fleet median from which an attempt is
	// slow.
	slowFactor = 4
	// slowMargin is the least time above the fleet median that counts as slow, so
	// that the jitter of fast services does not.
	slowMargin = 30 * time.Millisecond
	// defaultSlowThreshold applies while a service has no fleet median.
	defaultSlowThreshold = time.Second
	// latencyDecay is the factor by which the weight of earlier responses shrinks in
	// each step.
	latencyDecay = 0.95
	// minLatencyWeight is the total weight of responses below which this VM's median
	// is unknown.
	minLatencyWeight = 8
	// bucketsPerDoubling is the number of buckets over which a latency doubles.
	bucketsPerDoubling = 4
	// latencyBuckets covers latencies of up to 2^30 microseconds, about 18 minutes.
	latencyBuckets = 30 * bucketsPerDoubling
)

// Latencies is a histogram of the first-byte times of one service's responses on
// this VM. It is safe for concurrent use and takes no lock.
type Latencies struct {
	// counts has one counter per bucket, which only grows. bucketsPerDoubling buckets
	// cover each doubling of the latency.
	counts [latencyBuckets]atomic.Uint64
	// fleetMedian is the service's median over all VMs in nanoseconds; 0 while
	// unknown.
	fleetMedian atomic.Int64
}

// SlowThreshold returns the time from which an attempt counts as slow.
func (l *Latencies) SlowThreshold() time.Duration {
	t := l.FleetMedian()
	if t == 0 {
		return defaultSlowThreshold
	}

	return max(slowFactor*t, t+slowMargin)
}

// FleetMedian returns the service's median over all VMs, or 0 while it is unknown.
func (l *Latencies) FleetMedian() time.Duration {
	return time.Duration(l.fleetMedian.Load())
}

func (l *Latencies) setFleetMedian(d time.Duration) {
	l.fleetMedian.Store(int64(d))
}

func (l *Latencies) observe(d time.Duration) {
	l.counts[latencyBucket(d)].Add(1)
}

// latencyBucket returns the bucket of a latency: the position of its highest bit in
// microseconds and the two bits below.
func latencyBucket(d time.Duration) int {
	us := uint64(max(d.Microseconds(), bucketsPerDoubling)) //nolint:gosec // Above 0.
	high := bits.Len64(us) - 1
	part := int(us>>(high-2)) & (bucketsPerDoubling - 1) //nolint:gosec // Two bits.

	return min(high*bucketsPerDoubling+part, latencyBuckets-1)
}

// bucketLatency returns the midpoint of a bucket.
func bucketLatency(i int) time.Duration {
	high, part := i/bucketsPerDoubling, i%bucketsPerDoubling
	low := float64(uint64(1)<<high) * (1 + float64(part)/bucketsPerDoubling)
	width := float64(uint64(1)<<high) / bucketsPerDoubling

	return time.Duration((low + width/2) * float64(time.Microsecond))
}

// medianTracker tracks the median latency of one service's recent responses on this
// VM. It is used only by the goroutine of Controller.Step.
type medianTracker struct {
	seen   [latencyBuckets]uint64
	weight [latencyBuckets]float64
}

// advance adds what was counted since the last call and decays the rest.
func (m *medianTracker) advance(l *Latencies) {
	for i := range m.seen {
		n := l.counts[i].Load()
		m.weight[i] = m.weight[i]*latencyDecay + float64(n-m.seen[i])
		m.seen[i] = n
	}
}

// median returns the median, or 0 if there were too few responses.
func (m *medianTracker) median() time.Duration {
	total := 0.0
	for _, w := range m.weight {
		total += w
	}
	if total < minLatencyWeight {
		return 0
	}
	sum := 0.0
	for i, w := range m.weight {
		sum += w
		if sum >= total/2 {
			return bucketLatency(i)
		}
	}

	return 0
}
