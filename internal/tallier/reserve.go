package tallier

// Reserve is a part of what a limit of a ratio allows that a use must leave unused. The zero
// value reserves nothing.
type Reserve struct {
	// fraction is the part of all that the limit allows in its window; 0 to 1.
	fraction float64
	// even is set where each VM may use an equal share of what is left in a round.
	even bool
}

// NewReserve returns a reserve of the fraction of what the limit allows, which may be 0. Each
// VM may then use an equal share of the rest in a round.
func NewReserve(fraction float64) Reserve {
	return Reserve{
		fraction: fraction,
		even:     true,
	}
}

// withoutFraction returns the reserve with a fraction of 0.
func (r Reserve) withoutFraction() Reserve {
	r.fraction = 0

	return r
}

// shares returns the number of equal shares of what is left that one VM may use in a round.
func (r Reserve) shares() float64 {
	if r.even {
		return 1
	}

	return roundShares
}
