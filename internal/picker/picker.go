// Package picker chooses the target of each attempt.
package picker

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// Random picks any target that is not leaving. It is the baseline that other
// pickers are measured against.
type Random struct{}

// NewRandom returns a random picker.
func NewRandom() *Random {
	return &Random{}
}

// Pick returns a target that was not tried yet.
func (p *Random) Pick(_ timer.Instant, service *manifester.Service, tried []string) (*manifester.Target, bool) {
	var usable []*manifester.Target
	for _, t := range service.Targets() {
		if !t.Leaving() && !slices.Contains(tried, t.Name()) {
			usable = append(usable, t)
		}
	}
	if len(usable) == 0 {
		return nil, false
	}

	return usable[rand.IntN(len(usable))], true
}

// Done does nothing: a random pick learns nothing.
func (p *Random) Done(timer.Instant, *manifester.Service, *manifester.Target, time.Duration, error) {}
