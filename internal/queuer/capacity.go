package queuer

import "math"

// maxRunning bounds the requests that one VM has in flight to upstreams.
const maxRunning = 512

type services interface {
	// Capacity returns how many requests of the service this VM may have in
	// flight.
	Capacity(service string) int
}

// VMCapacity is the capacity of one VM: for a service what its targets allow, and a
// maximum in all.
type VMCapacity struct {
	services services
	total    int
}

// NewVMCapacity returns a capacity that reads the services' bounds from s, with
// maxRunning in all.
func NewVMCapacity(s services) *VMCapacity {
	return &VMCapacity{
		services: s,
		total:    maxRunning,
	}
}

// NewServiceCapacity returns a capacity that reads the services' bounds from s, without a
// maximum in all.
func NewServiceCapacity(s services) *VMCapacity {
	return &VMCapacity{
		services: s,
		total:    math.MaxInt,
	}
}

// Service returns the number of requests that this VM may have in flight for
// the service.
func (c *VMCapacity) Service(name string) int { return c.services.Capacity(name) }

// Total returns the number of requests that this VM may have in flight in all.
func (c *VMCapacity) Total() int { return c.total }
