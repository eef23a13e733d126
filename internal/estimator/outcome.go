package estimator

// Outcome is the result of one attempt as evidence about its target.
type Outcome uint8

// The outcomes.
const (
	// OutcomeServed is a response in time that is not a failure.
	OutcomeServed Outcome = iota + 1
	// OutcomeFailed is a failure response that came too early for the target to have
	// processed the request.
	OutcomeFailed
	// OutcomeBroken is a connection that ended before or within a response, or a
	// malformed response.
	OutcomeBroken
	// OutcomeSilent is a response that did not come within the expected time.
	OutcomeSilent
	// OutcomeUnreachable is a connection that could not be opened.
	OutcomeUnreachable
	// OutcomeGone is a response from another target, which now has the address.
	OutcomeGone
	// OutcomeErred is a failure response that came late enough for the target to have
	// processed the request, so that the request itself may be the cause.
	OutcomeErred
	// OutcomeLeaving is a response by which the target states that it is about to stop.
	OutcomeLeaving
	// OutcomeFull is a refusal by a target that has no capacity for the request.
	OutcomeFull
	// OutcomeShed is a rejection of one request, which the target did not run. It is
	// evidence about the rejection rate of the target and not about its risk.
	OutcomeShed
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case OutcomeServed:
		return "served"
	case OutcomeFailed:
		return "failed"
	case OutcomeBroken:
		return "broken"
	case OutcomeSilent:
		return "silent"
	case OutcomeUnreachable:
		return "unreachable"
	case OutcomeGone:
		return "gone"
	case OutcomeErred:
		return "erred"
	case OutcomeLeaving:
		return "leaving"
	case OutcomeFull:
		return "full"
	case OutcomeShed:
		return "shed"
	default:
		return "none"
	}
}

// Outcomes returns every outcome.
func Outcomes() []Outcome {
	return []Outcome{
		OutcomeServed, OutcomeFailed, OutcomeBroken, OutcomeSilent, OutcomeUnreachable, OutcomeGone, OutcomeErred,
		OutcomeLeaving, OutcomeFull, OutcomeShed,
	}
}

// Valid reports whether the outcome is known.
func (o Outcome) Valid() bool { return o >= OutcomeServed && o <= OutcomeShed }

// Notice reports whether the outcome is a statement of the target about itself. It is no
// evidence about the risk of the target.
func (o Outcome) Notice() bool { return o == OutcomeLeaving || o == OutcomeFull }

// likelihood holds how likely an outcome is at a working and at a failing target. Only
// the ratio of the two counts, so the likelihoods of all outcomes need not add up to 1.
type likelihood struct {
	working float64
	failing float64
}

// likelihoods holds the likelihood of each outcome. About one request in eighty to a
// working target is failed, broken, unreachable or gone. A failing target still serves
// one request in seven, and fails the others in one of several ways.
var likelihoods = map[Outcome]likelihood{
	OutcomeServed:      {working: 0.985, failing: 0.15}, //nolint:mnd // A table of likelihoods.
	OutcomeFailed:      {working: 0.003, failing: 0.75}, //nolint:mnd // A table of likelihoods.
	OutcomeBroken:      {working: 0.008, failing: 0.15}, //nolint:mnd // A table of likelihoods.
	OutcomeSilent:      {working: 0.02, failing: 0.4},   //nolint:mnd // A table of likelihoods.
	OutcomeUnreachable: {working: 0.001, failing: 0.4},  //nolint:mnd // A table of likelihoods.
	OutcomeGone:        {working: 0.0001, failing: 0.9}, //nolint:mnd // A table of likelihoods.
	OutcomeErred:       {working: 0.012, failing: 0.08}, //nolint:mnd // A table of likelihoods.
}
