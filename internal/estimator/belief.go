package estimator

import (
	"math"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// usual is what holds without evidence.
type usual struct {
	// risk is what evidence decays to, with the time constant memory.
	risk   float64
	memory time.Duration
	// first is the risk before the first evidence.
	first float64
}

// What is usual of targets and of the paths to them.
var (
	usualTarget = usual{
		risk:   usualRisk,
		memory: memory,
		first:  newRisk,
	}
	usualPath = usual{
		risk:   usualPathRisk,
		memory: pathMemory,
		first:  usualPathRisk,
	}
)

// belief is one likelihood at an instant.
type belief struct {
	risk float64
	at   timer.Instant
}

// now returns the likelihood at the instant, drawn towards what is usual.
func (b belief) now(t timer.Instant, u usual) float64 {
	age := t.Sub(b.at)
	if b.at == 0 {
		return u.first
	}
	if age <= 0 {
		return b.risk
	}

	return u.risk + (b.risk-u.risk)*math.Exp(-float64(age)/float64(u.memory))
}

// update returns the likelihood after the outcome.
func (b belief) update(t timer.Instant, u usual, l likelihood) belief {
	r := b.now(t, u)
	r = r * l.failing / (r*l.failing + (1-r)*l.working)

	return belief{
		risk: math.Min(1-leastRisk, math.Max(leastRisk, r)),
		at:   t,
	}
}
