package estimator

import (
	"math"
	"sync"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// rejectionDecayTime is the time constant with which the rejection rate of a target
	// decays. It is short because targets reject requests for seconds at a time.
	rejectionDecayTime = 2 * time.Second
	// maxRejectionWeight bounds the number of earlier attempts that the rejection rate
	// averages, so that it follows a target that begins or ceases to reject.
	maxRejectionWeight = 14
	// rejectionPrior is the weight, in attempts, of a rate of 0 before the first attempt.
	rejectionPrior = 1
)

// rejection is the rejection rate of one target as of the last attempt.
type rejection struct {
	// rate is between 0 and 1.
	rate float64
	// weight is the number of attempts that the rate averages; maxRejectionWeight at most.
	weight float64
	at     timer.Instant
}

// decayed returns the state at the instant, without new attempts.
func (r rejection) decayed(now timer.Instant) rejection {
	factor := math.Exp(-float64(max(0, now.Sub(r.at))) / float64(rejectionDecayTime))

	return rejection{
		rate:   r.rate * factor,
		weight: r.weight * factor,
		at:     max(now, r.at),
	}
}

// Rejections holds the rejection rate of each target: the share of the fleet's attempts
// that it rejects, whatever the cause. It is independent of the risk, since a target that
// rejects requests has not run them. It is safe for concurrent use.
type Rejections struct {
	// mu guards targets; it is held for one update or query.
	mu      sync.Mutex
	targets map[Key]rejection
}

// NewRejections returns rejection rates of 0.
func NewRejections() *Rejections {
	return &Rejections{
		targets: map[Key]rejection{},
	}
}

// Observe updates the rejection rate with the outcome of an attempt of any VM. Only
// rejections and complete responses are evidence.
func (r *Rejections) Observe(now timer.Instant, k Key, o Outcome) {
	rejected := 0.0
	switch o {
	case OutcomeShed:
		rejected = 1
	case OutcomeServed, OutcomeFailed, OutcomeErred:
	default:
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[k].decayed(now)
	t.rate += (rejected - t.rate) / (t.weight + 1 + rejectionPrior)
	t.weight = math.Min(t.weight+1, maxRejectionWeight)
	r.targets[k] = t
}

// Rate returns the rejection rate of the target, between 0 and 1.
func (r *Rejections) Rate(now timer.Instant, k Key) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, known := r.targets[k]
	if !known {
		return 0
	}

	return t.decayed(now).rate
}

// Forget removes the rates of targets without evidence for longer than the retention time.
func (r *Rejections) Forget(now timer.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, t := range r.targets {
		if now.Sub(t.at) > retention {
			delete(r.targets, k)
		}
	}
}
