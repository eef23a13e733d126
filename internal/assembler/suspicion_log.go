package assembler

import (
	"strconv"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
)

type targetNames interface {
	// TargetName returns the name of the target, or "" where there is none.
	TargetName(k estimator.Key) string
}

// suspicionLog logs when an outcome makes a target suspect, and when an outcome makes it
// no longer suspect. A risk that decays below the threshold is not logged, so a target may
// stop being suspect without a log entry.
type suspicionLog struct {
	names  targetNames
	logger *logger.Logger
}

// SuspicionChanged logs one change, with the outcome that caused it.
func (s *suspicionLog) SuspicionChanged(c estimator.SuspicionChange) {
	event := logger.TargetTrusted
	if c.Suspect() {
		event = logger.TargetSuspected
	}
	s.logger.Log(event,
		logger.Text("target", s.names.TargetName(c.Target())),
		logger.Text("evidence", c.Outcome().String()),
		logger.Flag("own", c.Own()),
		logger.Text("before", formatRisk(c.Before())),
		logger.Text("after", formatRisk(c.After())))
}

func formatRisk(risk float64) string {
	const digits = 2

	return strconv.FormatFloat(risk, 'f', digits, 64)
}
