package estimator

// Turn tells that a target became suspect, or is trusted again.
type Turn struct {
	target  Key
	outcome Outcome
	before  float64
	after   float64
	own     bool
}

// Target returns the target.
func (t Turn) Target() Key { return t.target }

// Outcome returns the evidence that decided it.
func (t Turn) Outcome() Outcome { return t.outcome }

// Before returns the risk before the evidence, and After that after it.
func (t Turn) Before() float64 { return t.before }

// After returns the risk after the evidence.
func (t Turn) After() float64 { return t.after }

// Own reports whether this VM saw the evidence itself.
func (t Turn) Own() bool { return t.own }

// Suspect reports whether the target became suspect.
func (t Turn) Suspect() bool { return t.after >= suspectRisk }
