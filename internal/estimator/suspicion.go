package estimator

// Turn is a change of a target to suspect or back.
type Turn struct {
	target  Key
	outcome Outcome
	before  float64
	after   float64
	own     bool
}

// Target returns the target.
func (t Turn) Target() Key { return t.target }

// Outcome returns the outcome that caused the change.
func (t Turn) Outcome() Outcome { return t.outcome }

// Before returns the risk of the target before the outcome.
func (t Turn) Before() float64 { return t.before }

// After returns the risk of the target after the outcome.
func (t Turn) After() float64 { return t.after }

// Own reports whether the outcome is that of an attempt of this VM.
func (t Turn) Own() bool { return t.own }

// Suspect reports whether the target became suspect.
func (t Turn) Suspect() bool { return t.after >= suspectThreshold }
