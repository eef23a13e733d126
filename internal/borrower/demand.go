package borrower

import (
	"math"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// demandMemory is the time after which a request counts 1/e of a new one.
const demandMemory = 500 * time.Millisecond

// demand estimates the rate at which a team's requests arrive at this VM.
type demand struct {
	// rate is in requests per second as of the instant last.
	rate float64
	last timer.Instant
}

// arrive counts one request.
func (d *demand) arrive(now timer.Instant) {
	d.rate = d.at(now) + 1/demandMemory.Seconds()
	d.last = now
}

// at returns the estimate in requests per second.
func (d *demand) at(now timer.Instant) float64 {
	if d.rate == 0 {
		return 0
	}

	return d.rate * math.Exp(-now.Sub(d.last).Seconds()/demandMemory.Seconds())
}
