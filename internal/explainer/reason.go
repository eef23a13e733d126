package explainer

import (
	"cmp"
	"strings"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
)

// reasons describes the codes of refusals for operators.
var reasons = map[handler.Code]string{
	handler.CodeOverRate:    "the team used up its rate and burst in the whole fleet (left below 1), or this VM used up its share of them (part below 1)",
	handler.CodeNoTarget:    "no target of the service was left: none is listed, each was tried or had no capacity, or an address now belongs to another target",
	handler.CodeShed:        "the last target shed the request or did not run it, mostly for lack of capacity",
	handler.CodeUpstream:    "the connection failed after the request was sent, or the response could not be matched to the request; it was not retried",
	handler.CodeTimeout:     "no complete response came within the timeout of the route or of the caller",
	handler.CodeKeyUnknown:  "the configuration in force on this VM does not contain the key",
	handler.CodeNoRoute:     "the configuration in force on this VM has no route for the request",
	handler.CodeStopping:    "the request had arrived whole only when the VM, which was being stopped, began no further ones",
	handler.CodeNotReady:    "the VM did not yet have a configuration or a list of targets",
	handler.CodeQuarantined: "targets crashed while they ran the same request, which is refused for a limited time",
}

// stopReasons describes why no further attempt was made.
var stopReasons = map[handler.StopReason]string{
	handler.StopMayHaveRun: "the request may have run and must not run twice",
	handler.StopAttempts:   "the limit on attempts was reached",
	handler.StopTime:       "too little time was left for another attempt",
	handler.StopBudget:     "the service's retry budget was used up",
	handler.StopReserved:   "what was left of the service's retry budget was reserved for requests of a higher rank",
	handler.StopLeft:       "the caller left while a retry waited",
}

// reason returns why the request ended as it did, and why it was not retried.
func reason(l *line) string {
	text := ending(l)
	if stop, ok := stopReasons[handler.StopReason(l.get("stopped"))]; ok {
		text += "; " + stop
	}

	return text + pressureNote(l)
}

// ending returns why the request ended as it did.
func ending(l *line) string {
	switch l.eventName {
	case logger.RequestFailed.Name():
		if l.get("leftMs") == "0" {
			return "the last target responded with a failure status, and no time was left"
		}

		return "the last target responded with a failure status"
	case logger.RequestLeft.Name():
		return "the caller closed its connection before it got the response"
	case logger.RequestRefused.Name():
		return cmp.Or(reasons[handler.Code(l.get("code"))], l.get("reason"), "the line gives no reason") + evacuation(l)
	default:
		return "the request was served"
	}
}

// evacuation returns the note that data centres with targets of the service were evacuated,
// or "".
func evacuation(l *line) string {
	names, evacuated := strings.CutPrefix(l.get("basis"), handler.EvacuatedBasis)
	if !evacuated {
		return ""
	}

	return "; an operator had evacuated " + strings.ReplaceAll(names, ",", ", ") + ", where the service has targets"
}

// attempt is one attempt to serve the request.
type attempt struct {
	target string
	result string
	took   string
	risk   string
	// trial is set if the target was idle and its weight was raised for a trial.
	trial bool
	// hedge is set if the attempt was made while an earlier one was in flight.
	hedge bool
}

// note returns the note that the attempt was a trial, a hedge or both, or "".
func (a attempt) note() string {
	text := ""
	if a.trial {
		text += "; trial of an idle target"
	}
	if a.hedge {
		text += "; hedge, sent while an earlier attempt was in flight"
	}

	return text
}

// attempts parses the attempts of a line. Each has the form
// target:result:time:risk=number, followed by :trial if it was a trial, and
// then by :hedge if it was a hedge.
func attempts(text string) []attempt {
	var list []attempt
	for _, f := range strings.Fields(text) {
		text, hedge := strings.CutSuffix(f, ":hedge")
		text, trial := strings.CutSuffix(text, ":trial")
		parts := strings.Split(text, ":")
		if len(parts) != 4 { //nolint:mnd // The four parts of the form above.
			list = append(list, attempt{target: f, result: "unreadable", took: "-", risk: "-"})

			continue
		}
		list = append(list, attempt{
			target: parts[0],
			result: parts[1],
			took:   parts[2],
			risk:   strings.TrimPrefix(parts[3], "risk="),
			trial:  trial,
			hedge:  hedge,
		})
	}

	return list
}
