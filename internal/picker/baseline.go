package picker

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// Random picks a random target that is not leaving. It is a baseline that other
// pickers are measured against.
type Random struct{}

// NewRandom returns a random picker.
func NewRandom() *Random {
	return &Random{}
}

// Pick returns a target that was not tried yet.
func (p *Random) Pick(_ timer.Instant, service *manifester.Service, tried []string) (*manifester.Target, bool) {
	usable := untried(service, tried)
	if len(usable) == 0 {
		return nil, false
	}

	return usable[rand.IntN(len(usable))], true
}

// Done does nothing: random picks do not depend on outcomes.
func (p *Random) Done(timer.Instant, *manifester.Service, *manifester.Target, ejector.Outcome) {
}

// RoundRobin picks the targets that are not leaving in turn. It is a baseline
// that other pickers are measured against.
type RoundRobin struct {
	next atomic.Uint64
}

// NewRoundRobin returns a round-robin picker.
func NewRoundRobin() *RoundRobin {
	return &RoundRobin{}
}

// Pick returns the next target that was not tried yet.
func (p *RoundRobin) Pick(_ timer.Instant, service *manifester.Service, tried []string) (*manifester.Target, bool) {
	usable := untried(service, tried)
	if len(usable) == 0 {
		return nil, false
	}

	return usable[p.next.Add(1)%uint64(len(usable))], true
}

// Done does nothing: round robin does not depend on outcomes.
func (p *RoundRobin) Done(timer.Instant, *manifester.Service, *manifester.Target, ejector.Outcome) {
}

func untried(service *manifester.Service, tried []string) []*manifester.Target {
	var usable []*manifester.Target
	for _, t := range service.Targets() {
		if !t.Leaving() && !slices.Contains(tried, t.Name()) {
			usable = append(usable, t)
		}
	}

	return usable
}
