// Package quarantiner refuses, in the whole fleet and for a while, requests
// that ended the targets which ran them. It knows no encoding.
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
	// deathsAllowed is the number of targets that a request may end.
	deathsAllowed = 2
	// quarantineTime is how long a request is refused.
	quarantineTime = 5 * time.Minute
	// suspicionTime is how long an ended target is held against a request.
	suspicionTime = 10 * time.Minute
	// sameDeath is the time within which two reports about one target tell of
	// one death.
	sameDeath = 2 * time.Second
	// maxSuspects bounds the requests remembered; beyond it the oldest go.
	maxSuspects = 512
)

// Fingerprint tells requests apart by team, route and content.
type Fingerprint string

// Mark is what one VM tells the others about a request.
type Mark struct {
	fingerprint Fingerprint
	// target is the one that ended; "" if the request got a whole answer.
	target string
}

// NewDeath returns the mark of a request in flight when its target ended.
func NewDeath(f Fingerprint, target string) Mark {
	return Mark{
		fingerprint: f,
		target:      target,
	}
}

// NewSurvival returns the mark of a suspected request that got a whole answer.
func NewSurvival(f Fingerprint) Mark {
	return Mark{
		fingerprint: f,
	}
}

// Fingerprint returns the request that the mark is about.
func (m Mark) Fingerprint() Fingerprint { return m.fingerprint }

// Target returns the target that ended, or "" for a survival.
func (m Mark) Target() string { return m.target }

type spreader interface {
	// Spread tells every other VM, for a bounded time.
	Spread(ctx context.Context, m Mark)
}

type clock interface {
	Now() timer.Instant
}

// suspect is a request in flight when a target ended.
type suspect struct {
	deaths []death
	// until is the end of its quarantine; 0 without one.
	until timer.Instant
}

// death is the end of one target.
type death struct {
	target string
	at     timer.Instant
}

// Quarantiner keeps the suspects. The path of a request reads a snapshot
// through an atomic pointer.
type Quarantiner struct {
	clock  clock
	spread spreader
	logger *logger.Logger
	// mu serializes changes.
	mu sync.Mutex
	// suspects is replaced as a whole by each change; never nil.
	suspects atomic.Pointer[map[Fingerprint]*suspect]
}

// New returns a quarantiner without suspects.
func New(c clock, s spreader, l *logger.Logger) *Quarantiner {
	q := &Quarantiner{
		clock:  c,
		spread: s,
		logger: l,
	}
	q.suspects.Store(&map[Fingerprint]*suspect{})

	return q
}

// Empty reports whether there is no suspect at all.
func (q *Quarantiner) Empty() bool { return len(*q.suspects.Load()) == 0 }

// Blocked reports whether the request is in quarantine.
func (q *Quarantiner) Blocked(f Fingerprint) bool {
	s, ok := (*q.suspects.Load())[f]

	return ok && s.until.After(q.clock.Now())
}

// Died notes that the target ended while the request was in flight, and tells
// the other VMs before it returns.
func (q *Quarantiner) Died(ctx context.Context, f Fingerprint, target string) {
	m := NewDeath(f, target)
	q.Apply(m)
	q.spread.Spread(ctx, m)
}

// Survived notes that the request got a whole answer: if it was a suspect, it
// is none any more, here and at the other VMs.
func (q *Quarantiner) Survived(ctx context.Context, f Fingerprint) {
	if _, ok := (*q.suspects.Load())[f]; !ok || q.Blocked(f) {
		return
	}
	m := NewSurvival(f)
	q.Apply(m)
	q.spread.Spread(ctx, m)
}

// Apply takes in a mark of this or another VM.
func (q *Quarantiner) Apply(m Mark) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	next := q.living(now)
	old := next[m.fingerprint]
	if m.target != "" {
		next[m.fingerprint] = q.mourn(now, old, m)
	} else if old != nil && old.until == 0 {
		delete(next, m.fingerprint)
	}
	q.suspects.Store(&next)
}

// mourn returns the suspect after one more report.
func (q *Quarantiner) mourn(now timer.Instant, old *suspect, m Mark) *suspect {
	s := &suspect{}
	if old != nil {
		s.until = old.until
		s.deaths = append(s.deaths, old.deaths...)
	}
	for _, d := range s.deaths {
		if d.target == m.target && now.Sub(d.at) < sameDeath {
			return s
		}
	}
	s.deaths = append(s.deaths, death{
		target: m.target,
		at:     now,
	})
	if len(s.deaths) >= deathsAllowed && s.until == 0 {
		s.until = now.Add(quarantineTime)
		q.logger.Log(logger.Quarantined, logger.Text("request", string(m.fingerprint)), logger.Text("target", m.target))
	}

	return s
}

// living returns a copy without the suspects whose time is over. At the bound
// the oldest that is not in quarantine goes.
func (q *Quarantiner) living(now timer.Instant) map[Fingerprint]*suspect {
	old := *q.suspects.Load()
	next := make(map[Fingerprint]*suspect, len(old)+1)
	var oldest Fingerprint
	var since timer.Instant
	for f, s := range old {
		last := s.deaths[len(s.deaths)-1].at
		if now.Sub(last) >= suspicionTime || (s.until != 0 && !s.until.After(now)) {
			continue
		}
		next[f] = s
		if s.until == 0 && (oldest == "" || last.Before(since)) {
			oldest, since = f, last
		}
	}
	if len(next) >= maxSuspects {
		delete(next, oldest)
	}

	return next
}
