package member

import (
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Recover takes the records that the log still keeps, in order, where earlier
// ones have expired. A record on which a later one builds was accepted; the
// latest such is where self starts. It reports whether a start was found.
func (p *Participant) Recover(entries []*Entry, now timer.Instant) bool {
	start := anchor(entries)
	if start == nil {
		return false
	}
	p.Adopt(start, now)

	return true
}

// Confirmed reports whether another VM has stated self's epoch, and none a
// later one, since the instant.
func (p *Participant) Confirmed(since timer.Instant) bool {
	found := false
	for _, c := range p.contacts {
		if c.epoch > p.roster.epoch {
			return false
		}
		found = found || c.epoch == p.roster.epoch && c.heard.After(since)
	}

	return found && p.roster.epoch > 0
}

// anchor returns the latest entry that is known to have been accepted, or nil.
func anchor(entries []*Entry) *Entry {
	at := map[recorder.Offset]*Entry{}
	var start *Entry
	for i, e := range entries {
		if base, ok := at[e.record.base]; ok && base.record.epoch+1 == e.record.epoch {
			start = base
		}
		if i == 0 && founds(e) {
			start = e
		}
		at[e.offset] = e
	}

	return start
}

// founds reports whether the entry began a fleet anew on a log whose earlier
// records had all expired.
func founds(e *Entry) bool {
	return e.record.base == noOffset && e.record.epoch == uint64(e.offset)+1
}

// Found starts anew on a log that keeps no record; head is the offset of the
// next one. The epochs go on above all earlier ones, of which there were no
// more than records.
func (p *Participant) Found(head recorder.Offset, now timer.Instant) {
	p.next = head
	p.begin(newRoster(uint64(head), noOffset, nil), nil, now)
}
