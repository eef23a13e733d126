package member

import "github.com/lagoonkeel/lagoonkeel/internal/timer"

// ListHistory records when the platform's list named each VM. The list may lag
// by up to maxListLag.
type ListHistory struct {
	self ID
	// updated is the time of the last list; valid if received is set.
	updated  timer.Instant
	received bool
	// lastListed maps each VM that a list has named to the time of the last list
	// that did.
	lastListed map[ID]timer.Instant
	// first is the time of the first list.
	first timer.Instant
}

// NewListHistory returns the history of a VM that has received no list.
func NewListHistory(self ID) *ListHistory {
	return &ListHistory{
		self:       self,
		lastListed: map[ID]timer.Instant{},
	}
}

// Update records a list that was requested at now.
func (h *ListHistory) Update(ids []ID, now timer.Instant) {
	if !h.received {
		h.first = now
	}
	h.received = true
	h.updated = now
	for _, i := range ids {
		h.lastListed[i] = now
	}
}

// EverListed reports whether a list has ever named the VM.
func (h *ListHistory) EverListed(i ID) bool {
	_, ok := h.lastListed[i]

	return ok
}

// Unlisted reports whether the list has not named the VM for longer than
// maxListLag. A VM that was never named counts as named in the first list. It
// returns false if the last list is stale or does not name self.
func (h *ListHistory) Unlisted(i ID, now timer.Instant) bool {
	if !h.received || now.Sub(h.updated) > listStaleAfter || h.lastListed[h.self] != h.updated {
		return false
	}
	last, ok := h.lastListed[i]
	if !ok {
		last = h.first
	}

	return now.Sub(last) > maxListLag && h.updated.Sub(last) > maxListLag
}
