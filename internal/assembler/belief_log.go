package assembler

import (
	"strconv"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
)

type targetNames interface {
	// Find returns the name of the target, or "".
	Find(k estimator.Key) string
}

// beliefLog logs when targets become suspect and when they are trusted again.
type beliefLog struct {
	names  targetNames
	logger *logger.Logger
}

// Turned logs one turn, with the evidence that decided it.
func (b *beliefLog) Turned(t estimator.Turn) {
	event := logger.TargetTrusted
	if t.Suspect() {
		event = logger.TargetSuspected
	}
	b.logger.Log(event,
		logger.Text("target", b.names.Find(t.Target())),
		logger.Text("evidence", t.Outcome().String()),
		logger.Flag("own", t.Own()),
		logger.Text("before", riskText(t.Before())),
		logger.Text("after", riskText(t.After())))
}

func riskText(risk float64) string {
	const digits = 2

	return strconv.FormatFloat(risk, 'f', digits, 64)
}
