package manifester

import "time"

// Limits bound the size and the duration of what callers send. A limit of 0 is unset, and
// the VM's own limit applies.
type Limits struct {
	// header and body are in bytes.
	header int
	body   int
	// headerTime bounds the time until the whole header of a request has arrived, and
	// idleTime the time that a connection waits for its next request.
	headerTime time.Duration
	idleTime   time.Duration
}

// LimitsSpec lists the limits: sizes in bytes, and 0 for a limit that is unset.
type LimitsSpec struct {
	Header     int
	Body       int
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// NewLimits returns limits. None may be below 0, which is not checked.
func NewLimits(s LimitsSpec) Limits {
	return Limits{
		header:     s.Header,
		body:       s.Body,
		headerTime: s.HeaderTime,
		idleTime:   s.IdleTime,
	}
}

// Header returns the largest size of a request's header in bytes, or 0 if unset.
func (l Limits) Header() int { return l.header }

// Body returns the largest size of a request's body in bytes, or 0 if unset.
func (l Limits) Body() int { return l.body }

// HeaderTime returns the longest time until the whole header of a request has arrived, or
// 0 if unset.
func (l Limits) HeaderTime() time.Duration { return l.headerTime }

// IdleTime returns how long a connection may wait for its next request, or 0 if unset.
func (l Limits) IdleTime() time.Duration { return l.idleTime }

// Limits returns the limits of what callers send.
func (m *Manifest) Limits() Limits { return m.limits }

// WithLimits returns a copy of the manifest with the given limits.
func (m *Manifest) WithLimits(l Limits) *Manifest {
	c := *m
	c.limits = l

	return &c
}
