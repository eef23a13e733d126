package snapshotter

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// settleTime is how long a VM is on duty before it writes: views differ
	// while VMs come and go.
	settleTime = 5 * time.Second
	// everyRecords is the number of records after which a snapshot is written,
	// so that a fresh VM has a short tail to read.
	everyRecords = 256
	// retentionShare is the part of the log's retention after which a snapshot
	// is written again, changed or not: its own records expire too.
	retentionShare = 4
)

// Policy decides when the VM on duty writes a snapshot. It does no I/O and
// belongs to one goroutine.
type Policy struct {
	// refresh is the age at which a snapshot is replaced.
	refresh time.Duration
	onDuty  bool
	// since is when the present duty began.
	since timer.Instant
	// written is set once a snapshot was written in this duty, at the instant
	// writtenAt and up to the offset upTo.
	written   bool
	writtenAt timer.Instant
	upTo      recorder.Offset
}

// NewPolicy returns the policy for a log that keeps records for the retention.
func NewPolicy(retention time.Duration) *Policy {
	return &Policy{
		refresh: retention / retentionShare,
	}
}

// Due reports whether this VM has to write a snapshot of the state at next. The
// oldest record that the log keeps is first: one after the last snapshot means
// that records have expired sooner than they should.
func (p *Policy) Due(now timer.Instant, onDuty bool, first, next recorder.Offset) bool {
	if onDuty != p.onDuty {
		p.onDuty = onDuty
		p.since = now
		p.written = false
	}
	if !onDuty || now.Sub(p.since) < settleTime || next == 0 {
		return false
	}

	return !p.written || now.Sub(p.writtenAt) >= p.refresh || next-p.upTo >= everyRecords || first > p.upTo
}

// Wrote notes that a snapshot up to next was written.
func (p *Policy) Wrote(now timer.Instant, next recorder.Offset) {
	p.written = true
	p.writtenAt = now
	p.upTo = next
}
