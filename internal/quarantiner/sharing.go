package quarantiner

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/hasher"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// minSharedTime is the least remaining time of a quarantine that VMs exchange. It exceeds
// the differences between VMs in when the same quarantine ends; a VM where it has ended
// would otherwise take it over again from one where it has not.
const minSharedTime = 10 * time.Second

// maxCrashAge is the greatest age of a crash that may count: the first crash of a quarantine
// that is about to end, with the second one at the end of the suspicion.
const maxCrashAge = suspicionTime + quarantineTime

// Digest identifies the set of requests in quarantine; 0 is that of the empty set.
type Digest uint32

// Crash is the crash of one target while it ran a request.
type Crash struct {
	target string
	// age is the time since the crash.
	age time.Duration
}

// NewCrash returns the crash of a target and the time since.
func NewCrash(target string, age time.Duration) Crash {
	return Crash{
		target: target,
		age:    age,
	}
}

// Target returns the target.
func (c Crash) Target() string { return c.target }

// Age returns the time since the crash.
func (c Crash) Age() time.Duration { return c.age }

// Snapshot is what one VM knows of a request, in the form in which VMs exchange it.
type Snapshot struct {
	fingerprint Fingerprint
	// crashes are the first quarantineCrashes ones since the request was last cleared, in
	// the order of their reports. The request is in quarantine if there are that many.
	crashes []Crash
	// cleared is set if the request was cleared, and sinceCleared is the time since.
	cleared      bool
	sinceCleared time.Duration
}

// NewSnapshot returns a snapshot of a request that was not cleared.
func NewSnapshot(f Fingerprint, crashes ...Crash) Snapshot {
	return Snapshot{
		fingerprint: f,
		crashes:     crashes,
	}
}

// ClearedBefore returns a copy for a request that was cleared, with the time since.
func (s Snapshot) ClearedBefore(d time.Duration) Snapshot {
	s.cleared = true
	s.sinceCleared = d

	return s
}

// Fingerprint returns the request.
func (s Snapshot) Fingerprint() Fingerprint { return s.fingerprint }

// Crashes returns the crashes since the request was last cleared, in the order of their
// reports.
func (s Snapshot) Crashes() []Crash { return s.crashes }

// Cleared reports whether the request was cleared, and returns the time since.
func (s Snapshot) Cleared() (since time.Duration, cleared bool) { return s.sinceCleared, s.cleared }

// quarantined reports whether the request is in quarantine according to the snapshot.
func (s Snapshot) quarantined() bool { return len(s.crashes) >= quarantineCrashes }

// Digest returns the digest of the requests that are in quarantine for a while.
func (q *Quarantiner) Digest() Digest {
	now := q.clock.Now()
	n, sum := 0, uint32(0)
	for f, s := range *q.suspects.Load() {
		if s.until.Sub(now) >= minSharedTime {
			n++
			sum += hasher.Sum(string(f)) // Independent of the order.
		}
	}
	if n > 0 && sum == 0 {
		return 1
	}

	return Digest(sum)
}

// Snapshots returns the suspects, those in quarantine first and otherwise in random order.
// A quarantine that is about to end is left out.
func (q *Quarantiner) Snapshots() []Snapshot {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	var quarantined, others []Snapshot
	for f, s := range q.withoutExpired(now) {
		switch {
		case s.until == 0:
			others = append(others, q.snapshot(now, f, s))
		case s.until.Sub(now) >= minSharedTime:
			quarantined = append(quarantined, q.snapshot(now, f, s))
		}
	}
	for _, list := range [][]Snapshot{quarantined, others} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}

	return append(quarantined, others...)
}

// snapshot returns the snapshot of a request; s is nil if it is no suspect. The lock must
// be held.
func (q *Quarantiner) snapshot(now timer.Instant, f Fingerprint, s *suspect) Snapshot {
	x := NewSnapshot(f)
	if s != nil {
		for _, c := range s.crashes[:min(len(s.crashes), quarantineCrashes)] {
			x.crashes = append(x.crashes, NewCrash(c.target, now.Sub(c.at)))
		}
	}
	if at, ok := q.cleared[f]; ok {
		return x.ClearedBefore(now.Sub(at))
	}

	return x
}

// Merge takes over what another VM knows of requests. It returns what this VM knows of those
// that are in quarantine there and, because a response cleared them, not here.
func (q *Quarantiner) Merge(list []Snapshot) []Snapshot {
	if len(list) == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	next := q.withoutExpired(now)
	var contradicted []Snapshot
	for _, x := range list {
		q.mergeClearing(now, x)
		old := next[x.fingerprint]
		s := q.merged(now, old, x)
		switch {
		case s == nil:
			delete(next, x.fingerprint)
			q.logMerged(now, x.fingerprint, old, nil)
		case makeRoom(next, x.fingerprint, s):
			next[x.fingerprint] = s
			q.logMerged(now, x.fingerprint, old, s)
		}
		if _, cleared := q.cleared[x.fingerprint]; cleared && x.quarantined() && !s.quarantined() {
			contradicted = append(contradicted, q.snapshot(now, x.fingerprint, s))
		}
	}
	q.suspects.Store(&next)

	return contradicted
}

// mergeClearing takes over when the request was cleared; the lock must be held.
func (q *Quarantiner) mergeClearing(now timer.Instant, x Snapshot) {
	if !x.cleared || x.sinceCleared < 0 || x.sinceCleared >= suspicionTime {
		return
	}
	if at := now.Add(-x.sinceCleared); q.cleared[x.fingerprint].Before(at) {
		q.setCleared(x.fingerprint, at)
	}
}

// merged returns the suspect with what the snapshot adds, or nil if it is no suspect. Crashes
// from before the request was last cleared do not count. The lock must be held.
func (q *Quarantiner) merged(now timer.Instant, old *suspect, x Snapshot) *suspect {
	cleared, isCleared := q.cleared[x.fingerprint]
	counts := func(c crash) bool { return !isCleared || c.at.After(cleared) }
	s := &suspect{}
	if old != nil {
		for _, c := range old.crashes {
			if counts(c) {
				s.crashes = append(s.crashes, c)
			}
		}
	}
	if old.quarantined() && len(s.crashes) >= quarantineCrashes {
		return old
	}
	s.crashes = union(s.crashes, x.since(now, counts))
	if len(s.crashes) >= quarantineCrashes {
		s.until = s.crashes[quarantineCrashes-1].at.Add(quarantineTime)
	}
	if len(s.crashes) == 0 || s.quarantined() && !s.until.After(now) {
		return nil
	}

	return s
}

// quarantined reports whether the suspect, which may be nil, is or was in quarantine.
func (s *suspect) quarantined() bool { return s != nil && s.until != 0 }

// logMerged logs that a quarantine was taken over from another VM, or ended by it.
func (q *Quarantiner) logMerged(now timer.Instant, f Fingerprint, old, s *suspect) {
	switch {
	case s.quarantined() && !old.quarantined():
		q.logger.Log(logger.QuarantineLearned, logger.Text("request", string(f)), logger.Int("leftMs", s.until.Sub(now).Milliseconds()))
	case old.quarantined() && !s.quarantined():
		q.logger.Log(logger.QuarantineWithdrawn, logger.Text("request", string(f)))
	}
}

// since returns the valid crashes of the snapshot that count.
func (s Snapshot) since(now timer.Instant, counts func(c crash) bool) []crash {
	var list []crash
	for _, c := range s.crashes {
		at := crash{
			target: c.target,
			at:     now.Add(-c.age),
		}
		if c.target != "" && c.age >= 0 && c.age < maxCrashAge && counts(at) {
			list = append(list, at)
		}
	}

	return list
}

// union returns the crashes that this VM and another one know of. What either knows suffices
// for a quarantine by itself. Otherwise a target counts once: the instants of two VMs do not
// tell whether it crashed again.
func union(own, remote []crash) []crash {
	if len(remote) >= quarantineCrashes {
		return remote
	}
	list := slices.Clone(own)
	for _, r := range remote {
		if !slices.ContainsFunc(own, func(o crash) bool { return o.target == r.target }) {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b crash) int { return int(a.at.Sub(b.at)) })

	return list
}

// makeRoom reports whether the suspect may be added to the suspects, and removes another one
// if necessary. Only a quarantine makes another suspect give way, which must not be in
// quarantine: VMs with different quarantines would otherwise replace each other's.
func makeRoom(suspects map[Fingerprint]*suspect, f Fingerprint, s *suspect) bool {
	if _, known := suspects[f]; known || len(suspects) < maxSuspects {
		return true
	}
	o := oldest(suspects)
	if s.until == 0 || suspects[o].until != 0 {
		return false
	}
	delete(suspects, o)

	return true
}

// setCleared notes when a suspect was cleared; the lock must be held. At most maxSuspects
// notes are kept, for suspicionTime.
func (q *Quarantiner) setCleared(f Fingerprint, at timer.Instant) {
	now := q.clock.Now()
	var first Fingerprint
	for g, t := range q.cleared {
		if now.Sub(t) >= suspicionTime {
			delete(q.cleared, g)
		} else if first == "" || t.Before(q.cleared[first]) {
			first = g
		}
	}
	if _, known := q.cleared[f]; !known && len(q.cleared) >= maxSuspects {
		delete(q.cleared, first)
	}
	q.cleared[f] = at
}
