package member

import (
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Recover finds the current epoch in the records that the log still retains,
// given in order, after earlier ones have expired. A record that a later one
// names as its base was accepted; this VM adopts the latest such record. It
// reports whether there was one.
func (p *Participant) Recover(entries []*Entry, now timer.Instant) bool {
	start := latestAccepted(entries)
	if start == nil {
		return false
	}
	p.Adopt(start, now)

	return true
}

// Confirmed reports whether another VM has reported this VM's epoch as its own
// and has sent a message after start, and no VM has reported a later epoch.
func (p *Participant) Confirmed(start timer.Instant) bool {
	found := false
	for _, peer := range p.peers {
		if peer.epoch > p.roster.epoch {
			return false
		}
		found = found || peer.epoch == p.roster.epoch && peer.lastHeard.After(start)
	}

	return found && p.roster.epoch > 0
}

// latestAccepted returns the latest entry that is known to have been accepted,
// or nil.
func latestAccepted(entries []*Entry) *Entry {
	byOffset := map[recorder.Offset]*Entry{}
	var start *Entry
	for i, e := range entries {
		if base, ok := byOffset[e.record.base]; ok && base.record.epoch+1 == e.record.epoch {
			start = base
		}
		if i == 0 && bootstraps(e) {
			start = e
		}
		byOffset[e.offset] = e
	}

	return start
}

// bootstraps reports whether the entry began the first epoch after a bootstrap
// on a log whose earlier records had all expired.
func bootstraps(e *Entry) bool {
	return e.record.base == noOffset && e.record.epoch == uint64(e.offset)+1
}

// Bootstrap enters an epoch without members on a log that retains no record;
// head is the offset of the next record. Its number is head: each record began
// at most one epoch, so the epochs that follow have higher numbers than all
// earlier ones.
func (p *Participant) Bootstrap(head recorder.Offset, now timer.Instant) {
	p.next = head
	p.enterEpoch(newRoster(uint64(head), noOffset, nil), nil, now)
}
