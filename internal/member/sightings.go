package member

import "github.com/lagoonkeel/lagoonkeel/internal/timer"

// Sightings is what the platform's lagging list has told of each VM.
type Sightings struct {
	self ID
	// updated is the instant of the last list; valid if some is set.
	updated timer.Instant
	some    bool
	// named has, for each VM ever named, the instant of the last list that
	// named it.
	named map[ID]timer.Instant
	// first is the instant of the first list.
	first timer.Instant
}

// NewSightings returns the sightings of a VM that has seen no list.
func NewSightings(self ID) *Sightings {
	return &Sightings{
		self:  self,
		named: map[ID]timer.Instant{},
	}
}

// Update takes a list that was asked for at the instant.
func (s *Sightings) Update(ids []ID, now timer.Instant) {
	if !s.some {
		s.first = now
	}
	s.some = true
	s.updated = now
	for _, i := range ids {
		s.named[i] = now
	}
}

// Named reports whether a list has ever named the VM.
func (s *Sightings) Named(i ID) bool {
	_, ok := s.named[i]

	return ok
}

// Vanished reports whether the list has not named the VM for longer than its
// lag. A list that is old, or that does not name self, tells nothing.
func (s *Sightings) Vanished(i ID, now timer.Instant) bool {
	if !s.some || now.Sub(s.updated) > listStaleAfter || s.named[s.self] != s.updated {
		return false
	}
	last, ok := s.named[i]
	if !ok {
		last = s.first
	}

	return now.Sub(last) > listLag && s.updated.Sub(last) > listLag
}
