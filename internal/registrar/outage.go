package registrar

import (
	"cmp"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// peerReportDelay is the maximum delay of a report by another VM that the store
	// answered it. A report within this time after this VM lost the store may be older
	// than the loss and is ignored.
	peerReportDelay = 1500 * time.Millisecond
	// maxAnswerGap is the longest time without an answer of the store to any VM in which no
	// entry expires, however late this VM learns of the last answer before.
	maxAnswerGap = 3 * time.Second
)

// StoreReached records that the store answered this VM.
func (r *Registrar) StoreReached(now timer.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteAnswer(now)
}

// PeerReached records a report by another VM that the store answered it lately. VMs that
// the store does not answer prove nothing: they may be cut off from it.
func (r *Registrar) PeerReached(now timer.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storeLostAt == 0 || now.Sub(r.storeLostAt) >= peerReportDelay {
		r.noteAnswer(now)
	}
}

// StoreLost records that the store did not answer this VM.
func (r *Registrar) StoreLost(now timer.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeLostAt = cmp.Or(r.storeLostAt, now)
}

// noteAnswer records that the store answered a VM. A failed call alone does not show that the
// store was unavailable to the targets: it may have begun long before, or only this VM may have
// been cut off. The lock must be held.
func (r *Registrar) noteAnswer(now timer.Instant) {
	if r.storeLostAt != 0 && (r.answeredAt == 0 || now.Sub(r.answeredAt) > maxAnswerGap) {
		r.storeBackAt = now
	}
	r.answeredAt = now
	r.storeLostAt = 0
}
