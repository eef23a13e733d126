package ejector

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// slowFactor times the typical time of a service is slow.
	slowFactor = 4
	// slowMargin above the typical time is the least that counts as slow, so
	// that jitter of fast services does not.
	slowMargin = 30 * time.Millisecond
	// unknownSlowBound applies while a service has no typical time.
	unknownSlowBound = time.Second
	// latencyDecay is what is left of the weight of earlier answers after one
	// period.
	latencyDecay = 0.95
	// minLatencyWeight is the weight of answers below which the typical time
	// is not known.
	minLatencyWeight = 8
	// octaveParts is the number of buckets in which a time doubles.
	octaveParts = 4
	// latencyBuckets cover microseconds up to 2^30, about 18 minutes.
	latencyBuckets = 30 * octaveParts
)

// Latencies holds the first-byte times of one service's answers on this VM.
// It is safe for concurrent use and takes no lock.
type Latencies struct {
	// counts only grow; a bucket is a quarter of an octave.
	counts [latencyBuckets]atomic.Uint64
	// typical is the service's median in nanoseconds over all VMs, 0 while
	// unknown.
	typical atomic.Int64
}

// SlowBound returns the time from which an attempt counts as slow.
func (l *Latencies) SlowBound() time.Duration {
	t := l.Typical()
	if t == 0 {
		return unknownSlowBound
	}

	return max(slowFactor*t, t+slowMargin)
}

// Typical returns the median of the service, or 0 while it is unknown.
func (l *Latencies) Typical() time.Duration {
	return time.Duration(l.typical.Load())
}

func (l *Latencies) setTypical(d time.Duration) {
	l.typical.Store(int64(d))
}

func (l *Latencies) observe(d time.Duration) {
	l.counts[latencyBucket(d)].Add(1)
}

// latencyBucket returns the bucket of a time: the position of its highest bit
// and the two bits below.
func latencyBucket(d time.Duration) int {
	us := uint64(max(d.Microseconds(), octaveParts)) //nolint:gosec // Above 0.
	high := bits.Len64(us) - 1
	part := int(us>>(high-2)) & (octaveParts - 1) //nolint:gosec // Two bits.

	return min(high*octaveParts+part, latencyBuckets-1)
}

// bucketLatency returns the middle of a bucket.
func bucketLatency(i int) time.Duration {
	high, part := i/octaveParts, i%octaveParts
	low := float64(uint64(1)<<high) * (1 + float64(part)/octaveParts)
	width := float64(uint64(1)<<high) / octaveParts

	return time.Duration((low + width/2) * float64(time.Microsecond))
}

// medianTracker follows the median of the recent answers of one service. It
// belongs to the controller.
type medianTracker struct {
	seen   [latencyBuckets]uint64
	weight [latencyBuckets]float64
}

// advance takes in what was counted since the last call.
func (m *medianTracker) advance(l *Latencies) {
	for i := range m.seen {
		n := l.counts[i].Load()
		m.weight[i] = m.weight[i]*latencyDecay + float64(n-m.seen[i])
		m.seen[i] = n
	}
}

// median returns the median, or 0 if there were too few answers.
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
