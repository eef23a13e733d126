package handler

// Stop is the reason why no further attempt follows the last one of a request.
type Stop string

// The reasons.
const (
	// StopNone means that another attempt follows, or that none was made.
	StopNone Stop = ""
	// StopSettled means that the result of the last attempt is final, even for an
	// idempotent request.
	StopSettled Stop = "settled"
	// StopRan means that the request may have run and must not run twice.
	StopRan Stop = "may-have-run"
	// StopAttempts means that the limit on attempts of a request is reached.
	StopAttempts Stop = "attempts"
	// StopTime means that too little time is left before the deadline.
	StopTime Stop = "time"
	// StopBudget means that the fleet's retry budget is used up.
	StopBudget Stop = "budget"
)
