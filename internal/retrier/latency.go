package retrier

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// bucketsPerDoubling is the number of buckets per power of two.
	bucketsPerDoubling = 4
	// buckets is the number of buckets; they cover 1 microsecond to over an hour.
	buckets = 32 * bucketsPerDoubling
	// updateInterval is the number of records after which the bound is recomputed
	// and the weight of the old records is halved.
	updateInterval = 64
	// boundFactor is the multiple of the median first-byte time beyond which an
	// response is late.
	boundFactor = 10
	// minBound is the lowest bound.
	minBound = 40 * time.Millisecond
	// initialBound is the bound before the first update.
	initialBound = time.Second
)

// Latency is a decaying histogram of first-byte times, from which it computes
// the time after which a response is late. It is safe for concurrent use and takes
// no lock; updates that overlap may halve the counts more than once.
type Latency struct {
	counts [buckets]atomic.Int64
	total  atomic.Int64
	// bound is in nanoseconds; at least minBound.
	bound atomic.Int64
}

// NewLatency returns an empty histogram with the initial bound.
func NewLatency() *Latency {
	l := &Latency{}
	l.bound.Store(int64(initialBound))

	return l
}

// Bound returns the time after which a response's first byte is late.
func (l *Latency) Bound() time.Duration {
	return time.Duration(l.bound.Load())
}

// Record adds one first-byte time.
func (l *Latency) Record(d time.Duration) {
	l.counts[bucketIndex(d)].Add(1)
	if l.total.Add(1)%updateInterval == 0 {
		l.updateBound()
	}
}

func (l *Latency) updateBound() {
	sum := int64(0)
	for i := range l.counts {
		sum += l.counts[i].Load()
	}
	seen := int64(0)
	median := time.Duration(0)
	for i := range l.counts {
		n := l.counts[i].Load()
		if seen*2 < sum && (seen+n)*2 >= sum {
			median = bucketEnd(i)
		}
		seen += n
		l.counts[i].Add(-n / 2)
	}
	l.bound.Store(int64(max(minBound, boundFactor*median)))
}

// bucketIndex returns the index of a time's bucket: the position of the highest
// bit of its microseconds, and the two bits below it.
func bucketIndex(d time.Duration) int {
	us := uint64(max(1, d.Microseconds())) //nolint:gosec // At least 1.
	high := bits.Len64(us) - 1
	low := uint64(0)
	if high >= 2 {
		low = us >> (high - 2) & (bucketsPerDoubling - 1)
	}

	return min(buckets-1, high*bucketsPerDoubling+int(low)) //nolint:gosec // Below bucketsPerDoubling.
}

// bucketEnd returns the upper end of a bucket.
func bucketEnd(i int) time.Duration {
	base := time.Microsecond << (i / bucketsPerDoubling)

	return base + base*time.Duration(i%bucketsPerDoubling+1)/bucketsPerDoubling
}
