package queuer

import "github.com/lagoonkeel/lagoonkeel/pkg/manifester"

// maxRunning bounds the requests that one VM has in flight to upstreams.
const maxRunning = 512

type services interface {
	// Capacity returns how many requests of the service this VM may have in
	// flight.
	Capacity(service string) int
}

// Bounds is the capacity of one VM: for a service what its targets allow, in all
// maxRunning.
type Bounds struct {
	services services
}

// NewBounds returns a capacity that reads the services' bounds from s.
func NewBounds(s services) *Bounds {
	return &Bounds{
		services: s,
	}
}

// Service returns the number of requests that this VM may have in flight for
// the service.
func (b *Bounds) Service(s *manifester.Service) int { return b.services.Capacity(s.Name()) }

// Total returns the number of requests that this VM may have in flight in all.
func (b *Bounds) Total() int { return maxRunning }
