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
func (s *ListHistory) Update(ids []ID, now timer.Instant) {
	if !s.received {
		s.first = now
	}
	s.received = true
	s.updated = now
	for _, i := range ids {
		s.lastListed[i] = now
	}
}

// EverListed reports whether a list has ever named the VM.
func (s *ListHistory) EverListed(i ID) bool {
	_, ok := s.lastListed[i]

	return ok
}

// Unlisted reports whether the list has not named the VM for longer than
// maxListLag. A VM that was never named counts as named in the first list. It
// returns false if the last list is stale or does not name self.
func (s *ListHistory) Unlisted(i ID, now timer.Instant) bool {
	if !s.received || now.Sub(s.updated) > listStaleAfter || s.lastListed[s.self] != s.updated {
		return false
	}
	last, ok := s.lastListed[i]
	if !ok {
		last = s.first
	}

	return now.Sub(last) > maxListLag && s.updated.Sub(last) > maxListLag
}
