package placer

import "time"

const (
	// overdueFactor is the multiple of the average latency after which a response is
	// overdue.
	overdueFactor = 3
	// minOverdue is the minimum of that time.
	minOverdue = 300 * time.Millisecond
	// defaultOverdue is the time after which a response is overdue where there are too
	// few samples and no latency goal.
	defaultOverdue = 2 * time.Second
	// processedRatio is the fraction of the average latency after which a target is
	// taken to have processed a request.
	processedRatio = 0.2
	// sampleWeight is the weight of a new sample in the moving average.
	sampleWeight = 0.1
	// minSamples is the number of samples from which on the average determines when a
	// response is overdue.
	minSamples = 3
)

// latency is the exponential moving average of the time to a response.
type latency struct {
	average time.Duration
	samples int
	// latencyGoal is the time within which a response should come; 0 where unknown.
	latencyGoal time.Duration
}

// latencyOf returns the latency of the name, which may be new.
func latencyOf(latencies map[string]*latency, name string) *latency {
	l, ok := latencies[name]
	if !ok {
		l = &latency{}
		latencies[name] = l
	}

	return l
}

func (l *latency) observe(took time.Duration) {
	l.samples++
	if l.samples == 1 {
		l.average = took

		return
	}
	l.average += time.Duration(sampleWeight * float64(took-l.average))
}

// expected returns the average latency, or an estimate from the latency goal
// before the first sample; 0 without either.
func (l *latency) expected() time.Duration {
	if l.samples > 0 {
		return l.average
	}

	return l.latencyGoal / overdueFactor
}

// processed reports whether an attempt took long enough for the target to have
// processed the request.
func (l *latency) processed(took time.Duration) bool {
	return took > time.Duration(processedRatio*float64(l.expected()))
}

// overdueAfter returns the time after which a response is overdue.
func (l *latency) overdueAfter() time.Duration {
	if l.samples >= minSamples {
		return max(minOverdue, overdueFactor*l.average)
	}
	if l.latencyGoal > 0 {
		return l.latencyGoal
	}

	return defaultOverdue
}
