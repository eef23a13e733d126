package assembler

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/evacuator"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/platform/adapter"
)

// NewEvacuationWriter returns a writer of evacuations to the platform's store at the
// address. It calls the store for as long as wait.
func NewEvacuationWriter(store string, t *timer.Service, wait time.Duration) *evacuator.Writer {
	topic := adapter.NewClient(store, t).Topic(adapter.ConfigTopic)

	return evacuator.NewWriter(topic, adapter.EvacuationKey, t, wait)
}
