package placer

import "time"

const (
	// lateFactor is the multiple of the usual time after which an answer is
	// late.
	lateFactor = 3
	// leastLate bounds that from below.
	leastLate = 300 * time.Millisecond
	// startLate holds before anything was learned and where no aim is known.
	startLate = 2 * time.Second
	// paceGain is the weight of one answer in the usual time.
	paceGain = 0.1
	// paceSamples is the number of answers after which the usual time is known.
	paceSamples = 3
)

// pace is the usual time to an answer on one route.
type pace struct {
	usual   time.Duration
	samples int
	aim     time.Duration
}

// pace returns the pace of the route; the lock must be held.
func (p *Placer) pace(route string, aim time.Duration) *pace {
	s, ok := p.paces[route]
	if !ok {
		s = &pace{}
		p.paces[route] = s
	}
	if aim > 0 {
		s.aim = aim
	}

	return s
}

func (s *pace) observe(took time.Duration) {
	s.samples++
	if s.samples == 1 {
		s.usual = took

		return
	}
	s.usual += time.Duration(paceGain * float64(took-s.usual))
}

// expected returns the usual time to an answer.
func (s *pace) expected() time.Duration {
	if s.samples > 0 {
		return s.usual
	}

	return s.aim / lateFactor
}

// late returns the time after which an answer is late.
func (s *pace) late() time.Duration {
	if s.samples >= paceSamples {
		return max(leastLate, lateFactor*s.usual)
	}
	if s.aim > 0 {
		return s.aim
	}

	return startLate
}
