package manifester

// Share is the part of a route's requests that goes to one service.
type Share struct {
	service string
	// weight is above 0; the share is in proportion to it.
	weight float64
}

// NewShare returns a share.
func NewShare(service string, weight float64) Share {
	return Share{
		service: service,
		weight:  weight,
	}
}

// Service returns the name of the service.
func (s Share) Service() string { return s.service }

// Weight returns the weight, to which the share is in proportion.
func (s Share) Weight() float64 { return s.weight }
