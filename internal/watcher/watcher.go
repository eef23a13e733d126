// Package watcher detects services of which too many requests in the whole fleet are not
// served, because they are refused or fail. It does no I/O.
package watcher

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// A service is degraded where at least minUnserved requests, and more than the
// fraction maxUnservedFraction of all, were not served within span.
const (
	span                = 1500 * time.Millisecond
	minUnserved         = 4
	maxUnservedFraction = 0.07
)

// counts holds the numbers of requests in the whole fleet.
type counts interface {
	// AddRequest counts a request, and AddUse counts one that was not served.
	AddRequest(now timer.Instant, a tallier.Account)
	AddUse(now timer.Instant, a tallier.Account)
	// Recent returns how many there were of both within the span.
	Recent(now timer.Instant, a tallier.Account, span time.Duration) (requests, unserved float64)
}

// Watcher counts the requests to services and those that were not served. It is safe
// for concurrent use.
type Watcher struct {
	counts counts
}

// New returns a watcher.
func New(c counts) *Watcher {
	return &Watcher{
		counts: c,
	}
}

// AddRequest counts a request to the service.
func (w *Watcher) AddRequest(now timer.Instant, service string) {
	w.counts.AddRequest(now, tallier.FailureAccount(service))
}

// AddUnserved counts a request to the service that was refused or failed.
func (w *Watcher) AddUnserved(now timer.Instant, service string) {
	w.counts.AddUse(now, tallier.FailureAccount(service))
}

// Degraded reports whether the service is degraded at the instant.
func (w *Watcher) Degraded(now timer.Instant, service string) bool {
	requests, unserved := w.counts.Recent(now, tallier.FailureAccount(service), span)

	return unserved >= minUnserved && unserved > maxUnservedFraction*requests
}
