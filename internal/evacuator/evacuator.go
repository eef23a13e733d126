// Package evacuator keeps the data centres that an operator has evacuated: their targets
// get no requests. It does not depend on the encoding of the records.
package evacuator

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// decode returns the data centre that the record with the key evacuates; false where the
// key is that of another kind of record.
type decode func(key string) (dataCentre string, ok bool)

// targetList is the list of the targets that may get requests.
type targetList interface {
	// Evacuate excludes the targets of the data centres, and of no others. ended lists
	// those whose evacuation has just ended. Both are sorted.
	Evacuate(now timer.Instant, dataCentres, ended []string)
}

// Evacuator holds the evacuated data centres. It is a view of the topic that operators
// write, and is safe for concurrent use.
type Evacuator struct {
	decode  decode
	targets targetList
	logger  *logger.Logger
	// evacuated lists the evacuated data centres in the order of their names. It is
	// replaced as a whole and never nil.
	evacuated atomic.Pointer[[]string]
	// mu serializes changes and guards offsets.
	mu sync.Mutex
	// offsets holds the offset of the last record about each data centre since the store last
	// came back from a copy, also after its removal: older records may be read again.
	offsets map[string]subscriber.Offset
}

// New returns an evacuator without evacuated data centres.
func New(d decode, t targetList, l *logger.Logger) *Evacuator {
	e := &Evacuator{
		decode:  d,
		targets: t,
		logger:  l,
		offsets: map[string]subscriber.Offset{},
	}
	e.evacuated.Store(&[]string{})

	return e
}

// DataCentres returns the evacuated data centres in the order of their names. The caller
// must not change the slice.
func (e *Evacuator) DataCentres() []string { return *e.evacuated.Load() }

// Replace applies the newest record of every key, and ends the evacuations without one. It
// always returns true, as no record needs older ones.
func (e *Evacuator) Replace(now timer.Instant, records []subscriber.Record) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.newDraft()
	present := map[string]bool{}
	for _, r := range records {
		name, ok := e.decode(r.Key())
		if !ok {
			continue
		}
		present[name] = true
		// A record at the known offset counts: an earlier reload may have lacked it.
		if offset, known := e.offsets[name]; !known || r.Offset() >= offset {
			e.offsets[name] = r.Offset()
			d.put(name, !r.Removed())
		}
	}
	for name := range d.evacuated {
		if !present[name] {
			d.put(name, false)
		}
	}
	e.publish(now, d)

	return true
}

// Update applies records in the order of their offsets, and skips those that are not newer
// than the last one about the same data centre. Like Replace, it always returns true.
func (e *Evacuator) Update(now timer.Instant, records []subscriber.Record) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.newDraft()
	for _, r := range records {
		name, ok := e.decode(r.Key())
		if !ok {
			continue
		}
		if offset, known := e.offsets[name]; known && r.Offset() <= offset {
			continue
		}
		e.offsets[name] = r.Offset()
		d.put(name, !r.Removed())
	}
	e.publish(now, d)

	return true
}

// StoreReached does nothing. It implements the subscriber's view.
func (e *Evacuator) StoreReached(timer.Instant) {}

// PeerReached does nothing. It implements the subscriber's view.
func (e *Evacuator) PeerReached(timer.Instant) {}

// StoreLost does nothing, as evacuations go on without the store. It implements the
// subscriber's view.
func (e *Evacuator) StoreLost(timer.Instant) {}

// StoreReturned forgets the offsets of the records before, which cannot be compared with later
// ones. The evacuations stay as they are until records say otherwise. It implements the
// subscriber's view.
func (e *Evacuator) StoreReturned(_, _ timer.Instant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.offsets)
}

// draft is the next state while records are applied.
type draft struct {
	evacuated map[string]bool
	// ended holds the data centres with an evacuation that ended while the records were
	// applied, also where it began with one of the same records.
	ended map[string]bool
}

func (e *Evacuator) newDraft() *draft {
	d := &draft{
		evacuated: map[string]bool{},
		ended:     map[string]bool{},
	}
	for _, name := range e.DataCentres() {
		d.evacuated[name] = true
	}

	return d
}

// put sets whether the data centre is evacuated.
func (d *draft) put(name string, evacuated bool) {
	if evacuated {
		d.evacuated[name] = true
		delete(d.ended, name)

		return
	}
	if d.evacuated[name] {
		d.ended[name] = true
	}
	delete(d.evacuated, name)
}

// publish makes the draft the state where it differs, tells the list of targets and logs
// the difference. The lock must be held.
func (e *Evacuator) publish(now timer.Instant, d *draft) {
	before, after := e.DataCentres(), slices.AppendSeq([]string{}, maps.Keys(d.evacuated))
	slices.Sort(after)
	if slices.Equal(before, after) && len(d.ended) == 0 {
		return
	}
	ended := slices.Sorted(maps.Keys(d.ended))
	e.evacuated.Store(&after)
	e.targets.Evacuate(now, after, ended)
	for _, name := range after {
		if !slices.Contains(before, name) {
			e.log(logger.EvacuationBegan, name)
		}
	}
	for _, name := range ended {
		e.log(logger.EvacuationEnded, name)
	}
}

func (e *Evacuator) log(event logger.Event, name string) {
	e.logger.Log(event, logger.Text("dataCentre", name), logger.Int("offset", int64(e.offsets[name])))
}
