package estimator

// SuspicionChange is a change of a target to suspect or back.
type SuspicionChange struct {
	target  Key
	outcome Outcome
	before  float64
	after   float64
	own     bool
}

// Target returns the target.
func (c SuspicionChange) Target() Key { return c.target }

// Outcome returns the outcome that caused the change.
func (c SuspicionChange) Outcome() Outcome { return c.outcome }

// Before returns the risk of the target before the outcome.
func (c SuspicionChange) Before() float64 { return c.before }

// After returns the risk of the target after the outcome.
func (c SuspicionChange) After() float64 { return c.after }

// Own reports whether the outcome is that of an attempt of this VM.
func (c SuspicionChange) Own() bool { return c.own }

// Suspect reports whether the target became suspect.
func (c SuspicionChange) Suspect() bool { return c.after >= suspectThreshold }
