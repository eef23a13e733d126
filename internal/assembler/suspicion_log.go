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

// suspicionLog logs when a target becomes suspect and when it stops being suspect.
type suspicionLog struct {
	names  targetNames
	logger *logger.Logger
}

// SuspicionChanged logs one change, with the outcome that caused it.
func (s *suspicionLog) SuspicionChanged(t estimator.SuspicionChange) {
	event := logger.TargetTrusted
	if t.Suspect() {
		event = logger.TargetSuspected
	}
	s.logger.Log(event,
		logger.Text("target", s.names.TargetName(t.Target())),
		logger.Text("evidence", t.Outcome().String()),
		logger.Flag("own", t.Own()),
		logger.Text("before", formatRisk(t.Before())),
		logger.Text("after", formatRisk(t.After())))
}

func formatRisk(risk float64) string {
	const digits = 2

	return strconv.FormatFloat(risk, 'f', digits, 64)
}
