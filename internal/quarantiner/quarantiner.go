// Package quarantiner decides which requests the whole fleet refuses for a limited
// time, because the targets that ran them crashed. It does not depend on the encoding
// of messages.
package quarantiner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// quarantineCrashes is the number of crashes at which a request is quarantined.
	quarantineCrashes = 2
	// quarantineTime is how long a quarantined request is refused.
	quarantineTime = 5 * time.Minute
	// suspicionTime is how long a request is a suspect after the last crash of a
	// target that ran it.
	suspicionTime = 10 * time.Minute
	// sameCrashWindow is the time after a crash within which another report of
	// the same target counts as the same crash.
	sameCrashWindow = 2 * time.Second
	// maxSuspects bounds the suspects that are kept. Once there are so many, a new one
	// replaces the oldest that is not quarantined, or the oldest if all are.
	maxSuspects = 512
)

// Fingerprint identifies equal requests by their team, route and content.
type Fingerprint string

// Mark is one VM's report to the others about a request.
type Mark struct {
	fingerprint Fingerprint
	// target is the target that crashed; "" if the request got a complete response.
	target string
}

// NewDeath returns the mark of a request that was in flight when its target crashed.
func NewDeath(f Fingerprint, target string) Mark {
	return Mark{
		fingerprint: f,
		target:      target,
	}
}

// NewSurvival returns the mark of a suspected request that got a complete response.
func NewSurvival(f Fingerprint) Mark {
	return Mark{
		fingerprint: f,
	}
}

// Fingerprint returns the request that the mark is about.
func (m Mark) Fingerprint() Fingerprint { return m.fingerprint }

// Target returns the target that crashed, or "" if the request got a complete
// response.
func (m Mark) Target() string { return m.target }

type broadcaster interface {
	// Broadcast sends the mark to every other VM, within a bounded time.
	Broadcast(ctx context.Context, m Mark)
}

type clock interface {
	Now() timer.Instant
}

// suspect is a request that was in flight when a target crashed.
type suspect struct {
	// crashes are in the order of their reports; there is at least one.
	crashes []crash
	// until is the end of the request's quarantine; 0 if it is not quarantined.
	until timer.Instant
}

// crash is the crash of one target.
type crash struct {
	target string
	at     timer.Instant
}

// Quarantiner keeps the suspects. It is safe for concurrent use: the request path
// reads a snapshot through an atomic pointer.
type Quarantiner struct {
	clock       clock
	broadcaster broadcaster
	logger      *logger.Logger
	// mu serializes changes.
	mu sync.Mutex
	// suspects is replaced as a whole by each change; never nil.
	suspects atomic.Pointer[map[Fingerprint]*suspect]
	// cleared holds when a response last cleared a suspect; mu guards it.
	cleared map[Fingerprint]timer.Instant
}

// New returns a quarantiner without suspects.
func New(c clock, b broadcaster, l *logger.Logger) *Quarantiner {
	q := &Quarantiner{
		clock:       c,
		broadcaster: b,
		logger:      l,
		cleared:     map[Fingerprint]timer.Instant{},
	}
	q.suspects.Store(&map[Fingerprint]*suspect{})

	return q
}

// Empty reports whether there is no suspect.
func (q *Quarantiner) Empty() bool { return len(*q.suspects.Load()) == 0 }

// Blocked reports whether the request is quarantined now.
func (q *Quarantiner) Blocked(f Fingerprint) bool {
	s, ok := (*q.suspects.Load())[f]

	return ok && s.until.After(q.clock.Now())
}

// Counts returns how many requests are quarantined now, and how many others are suspects.
func (q *Quarantiner) Counts() (quarantined, suspects int) {
	now := q.clock.Now()
	for _, s := range *q.suspects.Load() {
		switch {
		case s.until.After(now):
			quarantined++
		case s.until == 0 && now.Sub(s.lastCrash()) < suspicionTime:
			suspects++
		}
	}

	return quarantined, suspects
}

// Suspected reports whether a target crashed while it ran the request, and the request has
// not been cleared.
func (q *Quarantiner) Suspected(f Fingerprint) bool {
	_, ok := (*q.suspects.Load())[f]

	return ok
}

// RecordDeath records that the target crashed while the request was in flight, and sends
// the mark to the other VMs before it returns.
func (q *Quarantiner) RecordDeath(ctx context.Context, f Fingerprint, target string) {
	m := NewDeath(f, target)
	q.Apply(m)
	q.broadcaster.Broadcast(ctx, m)
}

// RecordSurvival records that the request got a complete response. A suspect that is
// not quarantined is cleared, here and at the other VMs.
func (q *Quarantiner) RecordSurvival(ctx context.Context, f Fingerprint) {
	if _, ok := (*q.suspects.Load())[f]; !ok || q.Blocked(f) {
		return
	}
	m := NewSurvival(f)
	q.Apply(m)
	q.broadcaster.Broadcast(ctx, m)
}

// Apply applies a mark of this or another VM.
func (q *Quarantiner) Apply(m Mark) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	next := q.withoutExpired(now)
	old := next[m.fingerprint]
	if old == nil && m.target != "" && len(next) >= maxSuspects {
		delete(next, oldest(next))
	}
	if m.target != "" {
		next[m.fingerprint] = q.addCrash(now, old, m)
	} else if old != nil && old.until == 0 {
		delete(next, m.fingerprint)
		q.setCleared(m.fingerprint, now)
	}
	q.suspects.Store(&next)
}

// addCrash returns a copy of the suspect with the mark's crash added. At the crash
// number quarantineCrashes the request is quarantined. A report of a crash that is
// already recorded adds nothing. old is nil for a new suspect.
func (q *Quarantiner) addCrash(now timer.Instant, old *suspect, m Mark) *suspect {
	s := &suspect{}
	if old != nil {
		s.until = old.until
		s.crashes = append(s.crashes, old.crashes...)
	}
	for _, d := range s.crashes {
		if d.target == m.target && now.Sub(d.at) < sameCrashWindow {
			return s
		}
	}
	s.crashes = append(s.crashes, crash{
		target: m.target,
		at:     now,
	})
	if len(s.crashes) >= quarantineCrashes && s.until == 0 {
		s.until = now.Add(quarantineTime)
		q.logger.Log(logger.Quarantined, logger.Text("request", string(m.fingerprint)), logger.Text("target", m.target))
	}

	return s
}

// withoutExpired returns a copy of the suspects without those whose suspicion or
// quarantine has ended.
func (q *Quarantiner) withoutExpired(now timer.Instant) map[Fingerprint]*suspect {
	old := *q.suspects.Load()
	next := make(map[Fingerprint]*suspect, len(old)+1)
	for f, s := range old {
		if now.Sub(s.lastCrash()) < suspicionTime && (s.until == 0 || s.until.After(now)) {
			next[f] = s
		}
	}

	return next
}

// lastCrash returns the instant of the last crash.
func (s *suspect) lastCrash() timer.Instant { return s.crashes[len(s.crashes)-1].at }

// oldest returns the suspect whose last crash is the oldest, of those that are not
// quarantined if there are any.
func oldest(suspects map[Fingerprint]*suspect) Fingerprint {
	var found Fingerprint
	var first *suspect
	for f, s := range suspects {
		free, firstFree := s.until == 0, first != nil && first.until == 0
		if first == nil || free && !firstFree || free == firstFree && s.lastCrash().Before(first.lastCrash()) {
			found, first = f, s
		}
	}

	return found
}
