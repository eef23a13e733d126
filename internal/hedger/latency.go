package hedger

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// LatencyWindow is the time over which latencies are counted.
	LatencyWindow = 20 * time.Second
	// recentWindow is the time of the samples that show whether a service is slow
	// everywhere.
	recentWindow = 2 * time.Second
	// updateInterval is the time between two updates of an estimate.
	updateInterval = 250 * time.Millisecond
	// minSamples is the number of samples below which nothing is hedged.
	minSamples = 40
	// hedgeQuantile is the quantile of the latency after which a hedge is sent.
	hedgeQuantile = 0.95
	// A service is slow everywhere while the median latency of the last recentWindow
	// exceeds the slowQuantile of the last LatencyWindow.
	medianQuantile = 0.5
	slowQuantile   = 0.8
	// stalledFraction is the fraction of the average rate of responses below which a
	// service counts as slow everywhere: its slow requests have not ended yet.
	stalledFraction = 0.25

	// firstBucket is the upper end of the first bucket, and bucketsPerDoubling the number
	// of further ones up to each doubling.
	firstBucket        = time.Millisecond
	bucketsPerDoubling = 4
)

// bucketOf returns the bucket of a latency.
func bucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	i := math.Ceil(bucketsPerDoubling * math.Log2(float64(d)/float64(firstBucket)))

	return min(tallier.LatencyBuckets-1, int(i))
}

// bucketEnd returns the upper end of a bucket.
func bucketEnd(i int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Exp2(float64(i)/bucketsPerDoubling))
}

// estimate is what the latencies of a route imply at one time.
type estimate struct {
	at timer.Instant
	// hedgeAfter is the time after which a hedge is sent, and median the median latency.
	hedgeAfter time.Duration
	median     time.Duration
	// usable is set where there are enough samples and the service is not slow everywhere.
	usable bool
	// slowSince is when the service became slow everywhere; 0 while it is not. It stays so for
	// LatencyWindow at most, unless the recent median falls to the bound, which is the
	// slowQuantile of before: slow responses raise that quantile after a few seconds.
	slowSince timer.Instant
	bound     time.Duration
}

// latency holds the latest estimate of a route.
type latency struct {
	accounts []tallier.Account
	// latest is replaced as a whole; never nil. Updates that overlap are harmless.
	latest atomic.Pointer[estimate]
}

func newLatency(route string) *latency {
	l := &latency{}
	for i := range tallier.LatencyBuckets {
		l.accounts = append(l.accounts, tallier.LatencyAccount(route, i))
	}
	l.latest.Store(&estimate{
		at: math.MinInt64 / 2,
	})

	return l
}

// estimate returns an estimate that is at most updateInterval old.
func (l *latency) estimate(now timer.Instant, c counts) *estimate {
	e := l.peek(now, c)
	if e != l.latest.Load() {
		l.latest.Store(e)
	}

	return e
}

// peek returns what estimate would return, and does not keep it.
func (l *latency) peek(now timer.Instant, c counts) *estimate {
	last := l.latest.Load()
	if now.Sub(last.at) < updateInterval {
		return last
	}

	return newEstimate(now, c.Requested(now, l.accounts, LatencyWindow), c.Requested(now, l.accounts, recentWindow), last)
}

// newEstimate returns the estimate from the counts of each bucket and the estimate before.
func newEstimate(now timer.Instant, all, recent []float64, last *estimate) *estimate {
	total, lately := sum(all), sum(recent)
	e := &estimate{
		at: now,
	}
	if total < minSamples {
		return e
	}
	e.hedgeAfter = quantile(all, total, hedgeQuantile)
	e.median = quantile(all, total, medianQuantile)
	e.bound = quantile(all, total, slowQuantile)
	if last.slowSince != 0 && now.Sub(last.slowSince) < LatencyWindow {
		e.slowSince = last.slowSince
		e.bound = min(e.bound, last.bound)
	}
	average := total * recentWindow.Seconds() / LatencyWindow.Seconds()
	e.usable = lately >= stalledFraction*average && quantile(recent, lately, medianQuantile) <= e.bound
	switch {
	case e.usable:
		e.slowSince = 0
	case e.slowSince == 0:
		e.slowSince = now
	}

	return e
}

func sum(counts []float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}

	return total
}

// quantile returns the upper end of the bucket that contains the quantile.
func quantile(counts []float64, total, q float64) time.Duration {
	seen := 0.0
	for i, n := range counts {
		if seen += n; seen > 0 && seen >= q*total {
			return bucketEnd(i)
		}
	}

	return bucketEnd(len(counts) - 1)
}
