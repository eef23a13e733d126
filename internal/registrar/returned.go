package registrar

import (
	"maps"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// departureRetention is how long the last entry of a target that left is remembered. It is
// longer than the store's copies are old.
const departureRetention = time.Minute

// departure is the last entry of a target that left.
type departure struct {
	entry *Entry
	// at is when the target left, as this VM learned of it.
	at timer.Instant
}

// storeReturn is the last return of the store from an older copy.
type storeReturn struct {
	// at is when this VM learned of it; 0 before the first one.
	at timer.Instant
	// settled is the instant until which entries of the store may be older than what this VM
	// knows.
	settled timer.Instant
}

// StoreReturned records that the store came back from an older copy. Targets that the copy
// lacks stay listed for relistGrace, in which they can list themselves again.
func (r *Registrar) StoreReturned(now, settled timer.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReturn = storeReturn{
		at:      now,
		settled: settled,
	}
	r.storeBackAt = now
}

// isOutdated reports whether the entry comes from a copy of the store that is older than what
// this VM knows: than the present entry of the target, or than its departure.
func (r *Registrar) isOutdated(now timer.Instant, members map[string]*Member, entry *Entry) bool {
	if !now.Before(r.lastReturn.settled) {
		return false
	}
	id := entry.target.Name()
	if m, known := members[id]; known {
		return entry.precedes(m.entry)
	}
	d, left := r.departures[id]

	return left && !d.at.After(r.lastReturn.at) && !d.entry.precedes(entry)
}

// noteDeparture remembers the last entry of a target that left.
func (r *Registrar) noteDeparture(now timer.Instant, entry *Entry) {
	if len(r.departures) < maxTargets {
		r.departures[entry.target.Name()] = departure{
			entry: entry,
			at:    now,
		}
	}
}

// forgetDepartures removes the departures of long ago; the lock must be held.
func (r *Registrar) forgetDepartures(now timer.Instant) {
	maps.DeleteFunc(r.departures, func(_ string, d departure) bool { return now.Sub(d.at) > departureRetention })
}
