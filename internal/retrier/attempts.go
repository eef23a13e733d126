package retrier

// Exhausted reports whether a request that had the number of attempts, of which some may
// have run it, gets no further one. The limit is the route's bound on those that may have
// run; 0 where only the general one applies.
func Exhausted(attempts, mayHaveRun, limit int) bool {
	most := maxAttempts
	if limit > 0 {
		most = min(most, limit)
	}

	return attempts >= maxTotalAttempts || mayHaveRun >= most
}
