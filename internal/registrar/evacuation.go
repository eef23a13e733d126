package registrar

import (
	"maps"
	"slices"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// returnTime is how long the targets of a data centre count as returned after the end of
// its evacuation. They may have become cold while they got no requests, before their
// entries say so.
const returnTime = 2500 * time.Millisecond

// evacuations holds the state of the data centres; the registrar's lock guards it.
type evacuations struct {
	// dataCentres holds the evacuated data centres.
	dataCentres map[string]bool
	// returnEnds holds the instant until which the targets of each other data centre count
	// as returned. It is absent where that is long ago.
	returnEnds map[string]timer.Instant
}

// Evacuate excludes the targets of the data centres, and of no others, from the members of
// their services. ended lists data centres whose evacuation has just ended.
func (r *Registrar) Evacuate(now timer.Instant, dataCentres, ended []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generation++
	r.evacuations.dataCentres = map[string]bool{}
	for _, name := range dataCentres {
		r.evacuations.dataCentres[name] = true
	}
	for _, name := range ended {
		r.evacuations.returnEnds[name] = now.Add(returnTime)
	}
	members := r.copyMembers()
	for id, m := range members {
		if slices.Contains(ended, m.Target().DataCentre()) {
			returned := *m
			returned.returnEnd = now.Add(returnTime)
			members[id] = &returned
		}
	}
	r.publish(members)
}

// Evacuated returns the evacuated data centres that have targets of the service, in the
// order of their names. The caller must not change the slice.
func (r *Registrar) Evacuated(service string) []string { return r.table.Load().evacuated[service] }

// EvacuatedMembers returns the targets of the service in evacuated data centres, in the order
// of their names. It reads the whole list, and is not meant for the path of a request.
func (r *Registrar) EvacuatedMembers(service string) []*Member {
	t := r.table.Load()
	var list []*Member
	for _, m := range t.members {
		if m.entry.service == service && slices.Contains(t.evacuated[service], m.Target().DataCentre()) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, byName)

	return list
}

// EvacuatedCount returns the number of listed targets in evacuated data centres.
func (r *Registrar) EvacuatedCount() int { return r.table.Load().evacuatedCount }

// forgetReturns removes the data centres that returned before the instant; the lock must be
// held.
func (e *evacuations) forgetReturns(now timer.Instant) {
	maps.DeleteFunc(e.returnEnds, func(_ string, end timer.Instant) bool { return !now.Before(end) })
}
