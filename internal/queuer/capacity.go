package queuer

import "github.com/lagoonkeel/lagoonkeel/pkg/manifester"

// maxRunning bounds the requests that one VM has in flight to upstreams.
const maxRunning = 512

type services interface {
	// Capacity returns how many requests of the service this VM may have in
	// flight.
	Capacity(service string) int
}

// VMCapacity is the capacity of one VM: for a service what its targets allow, in all
// maxRunning.
type VMCapacity struct {
	services services
}

// NewVMCapacity returns a capacity that reads the services' bounds from s.
func NewVMCapacity(s services) *VMCapacity {
	return &VMCapacity{
		services: s,
	}
}

// Service returns the number of requests that this VM may have in flight for
// the service.
func (c *VMCapacity) Service(s *manifester.Service) int { return c.services.Capacity(s.Name()) }

// Total returns the number of requests that this VM may have in flight in all.
func (c *VMCapacity) Total() int { return maxRunning }
