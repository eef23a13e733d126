package placer

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// NewTargets returns a list of warm targets of a service. The value of an entry is the time
// for which its target warms up.
func NewTargets(now timer.Instant, service string, slots int, ids ...string) *registrar.Registrar {
	list := registrar.New(func(id string, value []byte) (*registrar.Entry, error) {
		warmUp, err := time.ParseDuration(string(value))

		return registrar.NewEntry(registrar.EntrySpec{
			Target:  manifester.TargetSpec{Name: id, Address: "10.0.0.1:80", Slots: slots},
			Service: service,
			WarmUp:  warmUp,
		}), errors.Wrap(err, "decoding a test entry")
	}, logger.Discard())
	var records []subscriber.Record
	for i, id := range ids {
		records = append(records, subscriber.NewRecord(id, []byte("0s"), subscriber.Offset(i+1)))
	}
	list.Replace(now, records)

	return list
}
