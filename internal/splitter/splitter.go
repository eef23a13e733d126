// Package splitter divides the requests of a route among its services by their
// weights. It does no I/O.
package splitter

import (
	"math"
	"math/rand/v2"
	"sync"

	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// step is the golden ratio's fraction: its multiples fill the unit interval
// evenly, however few there are.
const step = 0.6180339887498949

// Splitter chooses services. It is safe for concurrent use.
type Splitter struct {
	// mu guards places.
	mu sync.Mutex
	// places holds the last place in the unit interval of each route; the first
	// one is random, so that VMs differ.
	places map[string]float64
}

// New returns a splitter.
func New() *Splitter {
	return &Splitter{
		places: map[string]float64{},
	}
}

// Choose returns the name of the service that the next request of the route
// goes to.
func (s *Splitter) Choose(r *manifester.Route) string {
	shares := r.Shares()
	if len(shares) == 0 {
		return r.Service()
	}
	total := 0.0
	for _, h := range shares {
		total += h.Weight()
	}
	at := s.next(r.Name()) * total
	for _, h := range shares {
		if at -= h.Weight(); at < 0 {
			return h.Service()
		}
	}

	return shares[len(shares)-1].Service()
}

// next returns the route's next place in the unit interval.
func (s *Splitter) next(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.places[route]
	if !ok {
		at = rand.Float64() //nolint:gosec // Spreads load; nothing secret hangs on it.
	}
	_, at = math.Modf(at + step)
	s.places[route] = at

	return at
}
