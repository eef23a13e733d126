// Package splitter divides the requests of a route among its services by their
// weights. It does no I/O.
package splitter

import (
	"math"
	"math/rand/v2"
	"sync"

	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// step is the fractional part of the golden ratio. The fractional parts of its
// multiples are spread evenly over the unit interval, even if they are few.
const step = 0.6180339887498949

// Splitter chooses services. It is safe for concurrent use.
type Splitter struct {
	// mu guards positions.
	mu sync.Mutex
	// positions holds the last position of each route in the unit interval. The first
	// one is random, so that the VMs do not choose in the same order.
	positions map[string]float64
}

// New returns a splitter that has no positions yet.
func New() *Splitter {
	return &Splitter{
		positions: map[string]float64{},
	}
}

// Choose returns the name of the service that the next request of the route
// goes to.
func (s *Splitter) Choose(r *manifester.Route) string { return choose(r, s.nextPosition) }

// Peek returns the service that Choose would return next, and does not move the position of
// the route. The first service of a route is random, for Peek and Choose alike.
func (s *Splitter) Peek(r *manifester.Route) string { return choose(r, s.peekPosition) }

func choose(r *manifester.Route, position func(route string) float64) string {
	shares := r.Shares()
	if len(shares) == 0 {
		return r.Service()
	}
	total := 0.0
	for _, h := range shares {
		total += h.Weight()
	}
	at := position(r.Name()) * total
	for _, h := range shares {
		if at -= h.Weight(); at < 0 {
			return h.Service()
		}
	}

	return shares[len(shares)-1].Service()
}

// nextPosition returns the route's next position in the unit interval.
func (s *Splitter) nextPosition(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.following(route)
	s.positions[route] = at

	return at
}

// peekPosition returns the route's next position and does not move it.
func (s *Splitter) peekPosition(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.following(route)
}

// following returns the position after the present one; the lock must be held.
func (s *Splitter) following(route string) float64 {
	at, ok := s.positions[route]
	if !ok {
		at = rand.Float64() //nolint:gosec // Spreads load; it need not be secure.
	}
	_, at = math.Modf(at + step)

	return at
}
