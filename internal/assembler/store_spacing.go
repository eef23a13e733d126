package assembler

import (
	"math/rand/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/filterer"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/watcher"
)

// spacing holds the parts that delay retries after rejections.
type spacing struct {
	rejections *estimator.Rejections
	retries    *retrier.SpacedRetrier
}

// newSpacing returns the parts; the tallier holds the retry budget and counts attempts.
func newSpacing(t *tallier.Tallier, a retrier.Allowance) *spacing {
	return &spacing{
		rejections: estimator.NewRejections(),
		retries:    retrier.NewSpacedRetrier(t, watcher.NewPressure(t), a.Window(), rand.Float64),
	}
}

// repeat returns the filter that retries requests.
func (v *StoreVM) repeat() *filterer.Repeat {
	if v.spacing == nil {
		return filterer.NewRepeat(v.retries, v.timers)
	}

	return filterer.NewSpacedRepeat(v.spacing.retries, v.placer, v.timers)
}

// registerRetries registers the counters of retries with the meter.
func (v *StoreVM) registerRetries() {
	if v.spacing == nil {
		v.retries.Each(v.meter.RegisterCounter)

		return
	}
	v.spacing.retries.Each(v.meter.RegisterCounter)
}
