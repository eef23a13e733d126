package snapshotter

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// settleTime is how long a VM has to be the writer before it writes: the
	// views of the VMs differ while VMs join and leave.
	settleTime = 5 * time.Second
	// recordsPerSnapshot is the number of records after which a snapshot is
	// written, so that a new VM has few records to replay.
	recordsPerSnapshot = 256
	// refreshDivisor divides the log's retention into the age at which a snapshot
	// is written again even if nothing changed, since its own records expire too.
	refreshDivisor = 4
)

// Policy decides when the VM that is the writer writes a snapshot. It does no
// I/O and belongs to one goroutine.
type Policy struct {
	// refresh is the age at which a snapshot is replaced.
	refresh  time.Duration
	isWriter bool
	// since is when isWriter last changed.
	since timer.Instant
	// written is set once a snapshot was written since then, at the instant
	// writtenAt and with upTo as the offset of the first record after it.
	written   bool
	writtenAt timer.Instant
	upTo      recorder.Offset
}

// NewPolicy returns the policy for a log that keeps records for the given time.
func NewPolicy(retention time.Duration) *Policy {
	return &Policy{
		refresh: retention / refreshDivisor,
	}
}

// Due reports whether this VM has to write a snapshot of the state whose next
// record is at next. The oldest record that the log keeps is at first; if it
// comes after the last snapshot, records have expired earlier than they should.
func (p *Policy) Due(now timer.Instant, isWriter bool, first, next recorder.Offset) bool {
	if isWriter != p.isWriter {
		p.isWriter = isWriter
		p.since = now
		p.written = false
	}
	if !isWriter || now.Sub(p.since) < settleTime || next == 0 {
		return false
	}

	return !p.written || now.Sub(p.writtenAt) >= p.refresh || next-p.upTo >= recordsPerSnapshot || first > p.upTo
}

// Wrote notes that a snapshot was written that holds the records before next.
func (p *Policy) Wrote(now timer.Instant, next recorder.Offset) {
	p.written = true
	p.writtenAt = now
	p.upTo = next
}
