package borrower

import (
	"math"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// demandTimeConstant is the time after which the weight of a request in the
// estimate has fallen to 1/e.
const demandTimeConstant = 500 * time.Millisecond

// demand estimates the rate at which a team's requests arrive at this VM.
type demand struct {
	// rate is in requests per second at the instant updatedAt.
	rate      float64
	updatedAt timer.Instant
}

// record counts one request.
func (d *demand) record(now timer.Instant) {
	d.rate = d.rateAt(now) + 1/demandTimeConstant.Seconds()
	d.updatedAt = now
}

// rateAt returns the estimate in requests per second.
func (d *demand) rateAt(now timer.Instant) float64 {
	if d.rate == 0 {
		return 0
	}

	return d.rate * math.Exp(-now.Sub(d.updatedAt).Seconds()/demandTimeConstant.Seconds())
}
