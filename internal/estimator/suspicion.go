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
func (t SuspicionChange) Target() Key { return t.target }

// Outcome returns the outcome that caused the change.
func (t SuspicionChange) Outcome() Outcome { return t.outcome }

// Before returns the risk of the target before the outcome.
func (t SuspicionChange) Before() float64 { return t.before }

// After returns the risk of the target after the outcome.
func (t SuspicionChange) After() float64 { return t.after }

// Own reports whether the outcome is that of an attempt of this VM.
func (t SuspicionChange) Own() bool { return t.own }

// Suspect reports whether the target became suspect.
func (t SuspicionChange) Suspect() bool { return t.after >= suspectThreshold }
