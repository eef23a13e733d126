package retrier

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// bucketsPerDoubling divides each doubling of the time.
	bucketsPerDoubling = 4
	// buckets covers 1 microsecond to over an hour.
	buckets = 32 * bucketsPerDoubling
	// learnPeriod is the number of records after which the bound is computed
	// anew and old records lose half their weight.
	learnPeriod = 64
	// boundFactor is the multiple of the median at which an answer is late.
	boundFactor = 10
	// leastBound limits the bound from below.
	leastBound = 40 * time.Millisecond
	// startBound holds before anything was learned.
	startBound = time.Second
)

// Latency learns from first-byte times when an answer is late. It is safe for
// concurrent use and takes no lock; a record that meets a halving may be lost.
type Latency struct {
	counts [buckets]atomic.Int64
	total  atomic.Int64
	// bound is in nanoseconds, at least leastBound.
	bound atomic.Int64
}

// NewLatency returns a record without measurements.
func NewLatency() *Latency {
	l := &Latency{}
	l.bound.Store(int64(startBound))

	return l
}

// Bound returns the wait after which an answer's first byte is late.
func (l *Latency) Bound() time.Duration {
	return time.Duration(l.bound.Load())
}

// Record adds the time of one first byte.
func (l *Latency) Record(d time.Duration) {
	l.counts[bucket(d)].Add(1)
	if l.total.Add(1)%learnPeriod == 0 {
		l.learn()
	}
}

func (l *Latency) learn() {
	sum := int64(0)
	for i := range l.counts {
		sum += l.counts[i].Load()
	}
	seen := int64(0)
	median := time.Duration(0)
	for i := range l.counts {
		n := l.counts[i].Load()
		if seen*2 < sum && (seen+n)*2 >= sum {
			median = upper(i)
		}
		seen += n
		l.counts[i].Add(-n / 2)
	}
	l.bound.Store(int64(max(leastBound, boundFactor*median)))
}

// bucket returns the index of a time: the position of its highest bit in
// microseconds, and the two bits below it.
func bucket(d time.Duration) int {
	us := uint64(max(1, d.Microseconds())) //nolint:gosec // At least 1.
	high := bits.Len64(us) - 1
	low := uint64(0)
	if high >= 2 {
		low = us >> (high - 2) & (bucketsPerDoubling - 1)
	}

	return min(buckets-1, high*bucketsPerDoubling+int(low)) //nolint:gosec // Below bucketsPerDoubling.
}

// upper returns the upper end of a bucket.
func upper(i int) time.Duration {
	base := time.Microsecond << (i / bucketsPerDoubling)

	return base + base*time.Duration(i%bucketsPerDoubling+1)/bucketsPerDoubling
}
