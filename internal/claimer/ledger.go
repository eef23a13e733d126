package claimer

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// claimRetention is how long a claim is stored.
	claimRetention = 24 * time.Hour
	// maxEntries bounds the stored claims; the oldest are evicted first.
	maxEntries = 500_000
	// answerRetention is how long an answer is stored for repeated requests.
	answerRetention = time.Hour
	// maxAnswerBytes and maxTotalAnswerBytes bound the body of one stored answer
	// and of all stored answers together.
	maxAnswerBytes      = 32 << 10
	maxTotalAnswerBytes = 16 << 20
	// notLogged is the offset of a claim that was not seen in the log.
	notLogged recorder.Offset = -1
)

// Ledger stores claims in memory. Its entries are valid in every term: a claim
// was made, was released, or got an answer. Whether it has all claims of a range
// is tracked by the Holder. It is safe for concurrent use; no call does I/O.
type Ledger struct {
	mu sync.Mutex
	// entries holds each claim once, released or not. byKey holds, for each range,
	// the entries that are not released, the first added first. A key has more
	// than one entry only if a claim on it was requested and never granted.
	entries map[ID]*entry
	byKey   [member.RangeCount]map[teamKey][]*entry
	// order holds all entries, the first added first.
	order *list.List
	// unlogged holds the entries that are neither released nor seen in the log.
	unlogged map[ID]*entry
	// answered holds the entries with an answer, the oldest answer first.
	answered *list.List
	// answerBytes is the size of the bodies of all stored answers.
	answerBytes int
}

type entry struct {
	claim   Claim
	addedAt timer.Instant
	// offset is the claim's position in the log, or notLogged.
	offset     recorder.Offset
	released   bool
	answer     *handler.Response
	answeredAt timer.Instant
	// element and answerElement are the list elements in the ledger's order and
	// answered; answerElement is nil without an answer.
	element       *list.Element
	answerElement *list.Element
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	l := &Ledger{
		entries:  map[ID]*entry{},
		order:    list.New(),
		unlogged: map[ID]*entry{},
		answered: list.New(),
	}
	for r := range l.byKey {
		l.byKey[r] = map[teamKey][]*entry{}
	}

	return l
}

// Reserve decides on a claim and stores it if it is granted.
func (l *Ledger) Reserve(now timer.Instant, c Claim) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if e, ok := l.entries[c.id]; ok && e.released {
		return NewDecision(VerdictSent, false, nil)
	}
	list := l.byKey[c.Range()][c.teamKey()]
	if len(list) == 0 {
		l.add(now, c, notLogged)

		return NewDecision(VerdictGranted, false, nil)
	}
	e := list[0]
	switch {
	case e.claim.id == c.id:
		return NewDecision(VerdictGranted, e.offset != notLogged, nil)
	case e.claim.fingerprint != c.fingerprint:
		return NewDecision(VerdictMismatch, false, nil)
	case e.answer != nil:
		return NewDecision(VerdictAnswered, false, e.answer)
	default:
		return NewDecision(VerdictSent, false, nil)
	}
}

// AddUnlogged stores a claim that was not read from the log. It does nothing if
// the claim is stored already.
func (l *Ledger) AddUnlogged(now timer.Instant, c Claim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.entries[c.id]; !ok {
		l.add(now, c, notLogged)
	}
}

// Apply applies the content of one record of the log.
func (l *Ledger) Apply(now timer.Instant, offset recorder.Offset, b Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range b.claims {
		e, ok := l.entries[c.id]
		if !ok {
			e = l.add(now, c, offset)
		}
		e.offset = offset
		delete(l.unlogged, c.id)
	}
	for _, c := range b.releases {
		l.release(now, c)
	}
	l.expire(now)
}

// Settle stores the outcome of a claimed request.
func (l *Ledger) Settle(now timer.Instant, s Settlement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.released {
		l.release(now, s.claim)

		return
	}
	e, ok := l.entries[s.claim.id]
	if !ok {
		e = l.add(now, s.claim, notLogged)
	}
	if s.answer == nil || e.answer != nil || e.released || len(s.answer.Body()) > maxAnswerBytes {
		return
	}
	e.answer = s.answer
	e.answeredAt = now
	e.answerElement = l.answered.PushBack(e)
	l.answerBytes += len(s.answer.Body())
	for l.answerBytes > maxTotalAnswerBytes {
		l.evictOldestAnswer()
	}
}

// Durable reports whether the claim was seen in the log.
func (l *Ledger) Durable(id ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]

	return ok && e.offset != notLogged
}

// Unlogged returns up to n claims that were added before the instant and are
// neither released nor seen in the log.
func (l *Ledger) Unlogged(before timer.Instant, n int) []Claim {
	l.mu.Lock()
	defer l.mu.Unlock()
	var claims []Claim
	for _, e := range l.unlogged {
		if len(claims) == n {
			break
		}
		if e.addedAt.Before(before) {
			claims = append(claims, e.claim)
		}
	}

	return claims
}

// Recall returns the claims of the range that are not released and are at or
// after the offset in the log, were not seen in the log, or have an answer.
func (l *Ledger) Recall(r member.Range, from recorder.Offset) []Settlement {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []Settlement
	for _, list := range l.byKey[r] {
		for _, e := range list {
			if e.offset == notLogged || e.offset >= from || e.answer != nil {
				found = append(found, NewAnswerSettlement(e.claim, e.answer))
			}
		}
	}

	return found
}

// Len returns the number of stored claims.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return len(l.entries)
}

func (l *Ledger) add(now timer.Instant, c Claim, offset recorder.Offset) *entry {
	e := &entry{
		claim:   c,
		addedAt: now,
		offset:  offset,
	}
	e.element = l.order.PushBack(e)
	l.entries[c.id] = e
	l.byKey[c.Range()][c.teamKey()] = append(l.byKey[c.Range()][c.teamKey()], e)
	if offset == notLogged {
		l.unlogged[c.id] = e
	}

	return e
}

// release marks a claim as released, so that its key can be claimed again. The
// entry stays, so that the same claim is not granted later.
func (l *Ledger) release(now timer.Instant, c Claim) {
	e, ok := l.entries[c.id]
	if !ok {
		e = l.add(now, c, notLogged)
	}
	e.released = true
	delete(l.unlogged, c.id)
	l.removeFromKey(e)
}

// removeFromKey removes an entry from byKey.
func (l *Ledger) removeFromKey(e *entry) {
	k := e.claim.teamKey()
	keys := l.byKey[e.claim.Range()]
	keys[k] = slices.DeleteFunc(keys[k], func(other *entry) bool { return other == e })
	if len(keys[k]) == 0 {
		delete(keys, k)
	}
}

// expire removes answers and claims past their retention, and the oldest claims
// beyond maxEntries.
func (l *Ledger) expire(now timer.Instant) {
	for f := l.answered.Front(); f != nil; f = l.answered.Front() {
		if e, ok := f.Value.(*entry); !ok || now.Sub(e.answeredAt) < answerRetention {
			break
		}
		l.evictOldestAnswer()
	}
	for f := l.order.Front(); f != nil; f = l.order.Front() {
		e, ok := f.Value.(*entry)
		if !ok || (now.Sub(e.addedAt) < claimRetention && len(l.entries) <= maxEntries) {
			return
		}
		l.remove(e)
	}
}

func (l *Ledger) remove(e *entry) {
	l.order.Remove(e.element)
	delete(l.entries, e.claim.id)
	delete(l.unlogged, e.claim.id)
	l.removeFromKey(e)
	if e.answerElement != nil {
		l.dropAnswer(e)
	}
}

// evictOldestAnswer removes the oldest answer but keeps its claim.
func (l *Ledger) evictOldestAnswer() {
	if e, ok := l.answered.Front().Value.(*entry); ok {
		l.dropAnswer(e)
	}
}

func (l *Ledger) dropAnswer(e *entry) {
	l.answered.Remove(e.answerElement)
	l.answerBytes -= len(e.answer.Body())
	e.answer = nil
	e.answerElement = nil
}
