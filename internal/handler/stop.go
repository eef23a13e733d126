package handler

// StopReason is the reason why no further attempt follows the last one of a request.
type StopReason string

// The reasons.
const (
	// StopNone means that another attempt follows, or that none was made.
	StopNone StopReason = ""
	// StopFinal means that the result of the last attempt is final, even for an
	// idempotent request.
	StopFinal StopReason = "settled"
	// StopMayHaveRun means that the request may have run and must not run twice.
	StopMayHaveRun StopReason = "may-have-run"
	// StopAttempts means that the limit on attempts of a request is reached.
	StopAttempts StopReason = "attempts"
	// StopTime means that too little time is left before the deadline.
	StopTime StopReason = "time"
	// StopBudget means that the fleet's retry budget is used up.
	StopBudget StopReason = "budget"
	// StopReserved means that what is left of the fleet's retry budget is reserved for
	// requests of a higher rank.
	StopReserved StopReason = "reserved"
	// StopLeft means that the caller closed its connection while a retry waited.
	StopLeft StopReason = "left"
)
