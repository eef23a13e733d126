package handler

// Names are the header fields by which callers, the fleet and targets tell each
// other about a request, and what else differs between front ends.
type Names struct {
	key          string
	timeout      string
	team         string
	requestID    string
	signature    string
	expectTarget string
	notRun       string
	verbatim     bool
	unframed     bool
	fractions    bool
}

// NamesSpec lists the attributes of Names. A field that is "" is not used.
type NamesSpec struct {
	// Key carries the caller's key.
	Key string
	// Timeout carries milliseconds: from a caller what it will wait, to a target
	// what is left.
	Timeout string
	// Team tells a target which team the caller belongs to.
	Team string
	// RequestID identifies an attempt of a caller; a target repeats it.
	RequestID string
	// Signature marks an answer that a target made.
	Signature string
	// ExpectTarget names the target that a request is meant for; any other
	// refuses it with 421.
	ExpectTarget string
	// NotRun marks an answer by which a target says that it did not run the
	// request.
	NotRun string
	// Verbatim paths are matched and passed on as they were received.
	Verbatim bool
	// Unframed answers of targets have no length and end with their connection.
	Unframed bool
	// Fractions of seconds may stand in the waiting time told to callers.
	Fractions bool
}

// NewNames returns names.
func NewNames(s NamesSpec) *Names {
	return &Names{
		key:          s.Key,
		timeout:      s.Timeout,
		team:         s.Team,
		requestID:    s.RequestID,
		signature:    s.Signature,
		expectTarget: s.ExpectTarget,
		notRun:       s.NotRun,
		verbatim:     s.Verbatim,
		unframed:     s.Unframed,
		fractions:    s.Fractions,
	}
}

// Key returns the field of the caller's key.
func (n *Names) Key() string { return n.key }

// Timeout returns the field of the time that is left.
func (n *Names) Timeout() string { return n.timeout }

// Team returns the field that names the team, or "".
func (n *Names) Team() string { return n.team }

// RequestID returns the field that identifies a request, or "".
func (n *Names) RequestID() string { return n.requestID }

// Signature returns the field that marks a target's own answer, or "".
func (n *Names) Signature() string { return n.signature }

// ExpectTarget returns the field that names the target meant, or "".
func (n *Names) ExpectTarget() string { return n.expectTarget }

// NotRun returns the field by which a target says that it did not run the
// request, or "".
func (n *Names) NotRun() string { return n.notRun }

// Verbatim reports whether paths are matched and passed on as received.
func (n *Names) Verbatim() bool { return n.verbatim }

// Unframed reports whether an answer without a length may end with its
// connection.
func (n *Names) Unframed() bool { return n.unframed }

// Fractions reports whether callers take a waiting time with a fraction.
func (n *Names) Fractions() bool { return n.fractions }

// OwnNames returns the names of the project's own interface.
func OwnNames() *Names {
	return NewNames(NamesSpec{
		Key:     "Lagoonkeel-Key",
		Timeout: "Lagoonkeel-Timeout-Ms",
	})
}
