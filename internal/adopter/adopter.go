// Package adopter applies configurations from the platform's store. It replaces the
// configuration in force as a whole. It skips configurations that are older than the
// one in force and those that cannot be decoded. It does not depend on their encoding.
package adopter

import (
	"fmt"
	"slices"
	"sync/atomic"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/recoverer"
	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// decode decodes a configuration.
type decode func(value []byte) (*manifester.Manifest, error)

// StaleError reports a configuration that is older than the one in force.
type StaleError struct {
	version manifester.Version
	inForce manifester.Version
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("version %d is not newer than version %d, which is in force", e.version, e.inForce)
}

// Adopter holds the configuration in force. Requests read it through an atomic
// pointer.
type Adopter struct {
	key    string
	decode decode
	logger *logger.Logger
	// manifest is the configuration in force. It is replaced as a whole and never nil.
	manifest atomic.Pointer[manifester.Manifest]
}

// New returns an adopter of the configurations under the key, without one in force.
func New(key string, d decode, l *logger.Logger) *Adopter {
	a := &Adopter{
		key:    key,
		decode: d,
		logger: l,
	}
	a.manifest.Store(manifester.Empty())

	return a
}

// Manifest returns the configuration in force.
func (a *Adopter) Manifest() *manifester.Manifest { return a.manifest.Load() }

// Ready reports whether a configuration is in force.
func (a *Adopter) Ready() bool { return a.Manifest().Version() != manifester.NoVersion }

// Replace applies the newest record of every key. It returns false where that of the
// configuration cannot be used, also if an earlier configuration is in force: one between
// them may have been missed.
func (a *Adopter) Replace(now timer.Instant, records []subscriber.Record) bool {
	usable := a.Update(now, records)

	return usable || !slices.ContainsFunc(records, func(r subscriber.Record) bool { return r.Key() == a.key })
}

// Update applies records in the order of their offsets. It reports whether one of them is
// a configuration that can be used.
func (a *Adopter) Update(_ timer.Instant, records []subscriber.Record) bool {
	usable := false
	for _, r := range records {
		if r.Key() == a.key && !r.Removed() && a.apply(r) {
			usable = true
		}
	}

	return usable
}

// StoreReached does nothing. It implements the subscriber's view.
func (a *Adopter) StoreReached(timer.Instant) {}

// PeerReached does nothing. It implements the subscriber's view.
func (a *Adopter) PeerReached(timer.Instant) {}

// StoreLost does nothing, as the configuration stays in force without the store. It
// implements the subscriber's view.
func (a *Adopter) StoreLost(timer.Instant) {}

// StoreReturned does nothing: versions tell which of two configurations is newer. It implements
// the subscriber's view.
func (a *Adopter) StoreReturned(_, _ timer.Instant) {}

// apply puts a configuration in force unless it is older than the one in force. It reports
// whether it could be decoded.
func (a *Adopter) apply(r subscriber.Record) bool {
	m, err := recoverer.Call(func() (*manifester.Manifest, error) { return a.decode(r.Value()) })
	if err != nil {
		a.skip(r, err)

		return false
	}
	inForce := a.Manifest().Version()
	switch {
	case m.Version() == inForce: // The same record was read twice.
	case m.Version() < inForce:
		a.skip(r, &StaleError{
			version: m.Version(),
			inForce: inForce,
		})
	default:
		a.manifest.Store(m)
		a.logger.Log(logger.ConfigTaken, logger.Int("offset", int64(r.Offset())),
			logger.Int("version", int64(m.Version())), logger.Int("before", int64(inForce)))
	}

	return true
}

// skip logs a configuration that is not put in force.
func (a *Adopter) skip(r subscriber.Record, err error) {
	a.logger.Log(logger.ConfigSkipped, logger.Int("offset", int64(r.Offset())),
		logger.Int("inForce", int64(a.Manifest().Version())), logger.Failure(err))
}
