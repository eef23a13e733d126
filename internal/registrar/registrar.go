// Package registrar keeps the targets that the platform's store lists. It does not
// depend on the encoding of the entries.
package registrar

import (
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/hasher"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/recoverer"
	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// relistGrace is how long removed targets stay listed after the store was unavailable:
// their entries may have expired although they work, and they need time to list
// themselves again.
const relistGrace = 2 * time.Second

// leavingRetention is how long a target that is about to stop is remembered once its
// entry was last seen.
const leavingRetention = time.Hour

// maxTargets bounds the targets that are kept; more than the whole fleet has.
const maxTargets = 200_000

// Registrar holds the list of targets. Requests read it through an atomic
// pointer.
type Registrar struct {
	decode decode
	logger *logger.Logger
	table  atomic.Pointer[table]
	// mu serializes changes and guards the fields that are not atomic.
	mu sync.Mutex
	// skipped holds the offset of each skipped entry, so that an entry that is read again
	// is logged once; at most maxTargets.
	skipped map[string]subscriber.Offset
	// leaving holds the starts of targets that stated that they are about to stop, with
	// the instant at which each was last marked or listed. A list entry of such a start is
	// ignored, whatever state it names.
	leaving map[estimator.Key]timer.Instant
	// departures holds the last entry of each target that left lately, by id; at most maxTargets.
	departures map[string]departure
	// lastReturn is the last return of the store from an older copy.
	lastReturn storeReturn
	// generation grows with each change of the members or of the evacuated data centres.
	generation uint64
	// evacuations decides which members their services lack.
	evacuations evacuations
	// loaded is set once the list has been read.
	loaded atomic.Bool
	// storeLostAt is when a call of this VM failed first since answeredAt; 0 if none did.
	storeLostAt timer.Instant
	// answeredAt is when the store answered this VM last, or when another VM reported that the
	// store had answered it; 0 before.
	answeredAt timer.Instant
	// storeBackAt is when the store last became available again to a VM after a time in which
	// entries may have expired; 0 before.
	storeBackAt timer.Instant
}

// New returns a registrar without targets.
func New(d decode, l *logger.Logger) *Registrar {
	r := &Registrar{
		decode:     d,
		logger:     l,
		skipped:    map[string]subscriber.Offset{},
		leaving:    map[estimator.Key]timer.Instant{},
		departures: map[string]departure{},
		evacuations: evacuations{
			returnEnds: map[string]timer.Instant{},
		},
	}
	r.table.Store(&table{})

	return r
}

// Ready reports whether the list has been read.
func (r *Registrar) Ready() bool { return r.loaded.Load() }

// Members returns the targets of a service without those in evacuated data centres; some
// may no longer be listed. The caller must not change the slice.
func (r *Registrar) Members(service string) []*Member { return r.table.Load().services[service] }

// EachService calls f with each service and its targets without those in evacuated data
// centres; some may no longer be listed. f must not change the slice.
func (r *Registrar) EachService(f func(service string, members []*Member)) {
	for s, list := range r.table.Load().services {
		f(s, list)
	}
}

// Generation returns a number that grows when EachService lists other targets than before,
// another start of one or a target in another data centre. New entries of the same targets
// alone do not change it.
func (r *Registrar) Generation() uint64 { return r.table.Load().generation }

// TargetName returns the name of the target with the key, or "" where there is none.
func (r *Registrar) TargetName(k estimator.Key) string {
	for id, m := range r.table.Load().members {
		if m.key == k {
			return id
		}
	}

	return ""
}

// Service returns the name of the service that the target belongs to; false where the
// target is not a member.
func (r *Registrar) Service(id string) (string, bool) {
	m, ok := r.table.Load().members[id]
	if !ok {
		return "", false
	}

	return m.entry.service, true
}

// Size returns the number of members, including those in evacuated data centres.
func (r *Registrar) Size() int { return len(r.table.Load().members) }

// Replace applies the newest record of every key, and removes members without a record.
// It always returns true: records that cannot be decoded are skipped.
func (r *Registrar) Replace(now timer.Instant, records []subscriber.Record) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := r.copyMembers()
	listed := map[string]bool{}
	for _, x := range records {
		listed[x.Key()] = !x.Removed()
		r.apply(now, members, x)
	}
	for id := range members {
		if !listed[id] {
			r.remove(now, members, id)
		}
	}
	r.publish(members)
	r.loaded.Store(true)

	return true
}

// Update applies records in the order of their offsets, and removes members that are no
// longer listed. Like Replace, it always returns true.
func (r *Registrar) Update(now timer.Instant, records []subscriber.Record) bool {
	if len(records) == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	members := r.copyMembers()
	for _, x := range records {
		r.apply(now, members, x)
	}
	for _, m := range members {
		if !m.Listed(now) {
			r.depart(now, members, m)
		}
	}
	r.publish(members)

	return true
}

// MarkLeaving removes the start of a target that stated that it is about to stop, until
// the target starts again. It reports whether the start was not marked before.
func (r *Registrar) MarkLeaving(now timer.Instant, k estimator.Key) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, marked := r.leaving[k]
	if marked || len(r.leaving) >= maxTargets {
		return false
	}
	r.leaving[k] = now
	members := r.copyMembers()
	for id, m := range members {
		if m.key == k {
			r.drop(members, id, "leaving")
		}
	}
	r.publish(members)

	return true
}

// Forget removes the marks of targets that left long ago, and of data centres that are no
// longer evacuated.
func (r *Registrar) Forget(now timer.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuations.forgetReturns(now)
	r.forgetDepartures(now)
	maps.DeleteFunc(r.leaving, func(_ estimator.Key, seen timer.Instant) bool { return now.Sub(seen) > leavingRetention })
}

// copyMembers returns a copy of the members.
func (r *Registrar) copyMembers() map[string]*Member {
	old := r.table.Load().members
	next := make(map[string]*Member, len(old)+1)
	for id, m := range old {
		next[id] = m
	}

	return next
}

func (r *Registrar) apply(now timer.Instant, members map[string]*Member, x subscriber.Record) {
	if x.Removed() {
		delete(r.skipped, x.Key())
		r.remove(now, members, x.Key())

		return
	}
	entry, err := recoverer.Call(func() (*Entry, error) { return r.decode(x.Key(), x.Value()) })
	if old := members[x.Key()]; err == nil && old != nil && old.entry.contradicts(entry) {
		err = &ChangedStartError{
			service: old.entry.service,
			address: old.entry.target.Address(),
		}
	}
	if err == nil && !entry.draining && len(members) >= maxTargets && members[x.Key()] == nil {
		err = &ListFullError{}
	}
	if err != nil {
		r.skip(x, err)

		return
	}
	delete(r.skipped, x.Key())
	switch {
	case r.isOutdated(now, members, entry):
	case entry.draining:
		r.drop(members, x.Key(), "draining")
		r.noteDeparture(now, entry)
	default:
		r.put(now, members, entry)
	}
}

// skip logs an entry that cannot be used, once for each change of it.
func (r *Registrar) skip(x subscriber.Record, err error) {
	if offset, known := r.skipped[x.Key()]; known && offset == x.Offset() {
		return
	}
	if len(r.skipped) < maxTargets {
		r.skipped[x.Key()] = x.Offset()
	}
	r.logger.Log(logger.TargetSkipped, logger.Text("target", x.Key()), logger.Int("offset", int64(x.Offset())), logger.Failure(err))
}

func (r *Registrar) put(now timer.Instant, members map[string]*Member, entry *Entry) {
	id := entry.target.Name()
	old, known := members[id]
	m := &Member{
		entry:     entry,
		key:       estimator.Key(hasher.Sum(id, strconv.FormatInt(entry.startedMillis, 10))),
		warmUpEnd: now.Add(entry.warmUp),
		returnEnd: r.evacuations.returnEnds[entry.target.DataCentre()],
	}
	if _, leaving := r.leaving[m.key]; leaving {
		r.leaving[m.key] = now

		return // A later start of the target, if there is one, stays listed.
	}
	started := !known || old.entry.startedMillis != entry.startedMillis
	if started || old.Target().DataCentre() != entry.target.DataCentre() {
		r.generation++
	}
	if started {
		r.logger.Log(logger.TargetListed, logger.Text("target", id), logger.Text("service", entry.service),
			logger.Text("dataCentre", entry.target.DataCentre()), logger.Millis("cold", entry.warmUp))
	}
	members[id] = m
}

// remove removes a target whose entry was removed. Within relistGrace after the store
// became available again, the target stays listed until that time has passed.
func (r *Registrar) remove(now timer.Instant, members map[string]*Member, id string) {
	old, known := members[id]
	if !known {
		return
	}
	listedUntil := r.storeBackAt.Add(relistGrace)
	if r.storeBackAt == 0 || !now.Before(listedUntil) {
		r.depart(now, members, old)

		return
	}
	if old.listedUntil == 0 {
		m := *old
		m.listedUntil = listedUntil
		members[id] = &m
	}
}

// depart removes a target whose entry was removed.
func (r *Registrar) depart(now timer.Instant, members map[string]*Member, m *Member) {
	r.drop(members, m.Target().Name(), "removed")
	r.noteDeparture(now, m.entry)
}

func (r *Registrar) drop(members map[string]*Member, id, reason string) {
	if _, known := members[id]; known {
		r.generation++
		r.logger.Log(logger.TargetGone, logger.Text("target", id), logger.Text("reason", reason))
	}
	delete(members, id)
}
