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
	// retention is how long a claim is remembered.
	retention = 24 * time.Hour
	// maxEntries bounds the claims remembered; the oldest go first.
	maxEntries = 500_000
	// answerTime is how long an answer is kept for repeats.
	answerTime = time.Hour
	// maxAnswer and maxAnswers bound one kept answer and all of them, in bytes.
	maxAnswer  = 32 << 10
	maxAnswers = 16 << 20
	// notLogged is the offset of a claim that was not seen in the log.
	notLogged recorder.Offset = -1
)

// Ledger remembers claims. All that is in it is true in every term: a claim
// was made, or was released, or got an answer. Whether it is complete is for
// the holder to know. It is safe for concurrent use; no call does I/O.
type Ledger struct {
	mu sync.Mutex
	// entries holds each claim once; byName has, for each range, those that are
	// not released, the first learned first. More than one stand for a key only where a claim was
	// asked for that was never granted.
	entries map[ID]*entry
	byName  [member.RangeCount]map[name][]*entry
	// order holds all entries, the oldest first.
	order *list.List
	// volatile holds the entries that were not seen in the log.
	volatile map[ID]*entry
	// kept holds the entries with an answer, the oldest first, of answerBytes
	// bytes together.
	kept        *list.List
	answerBytes int
}

type entry struct {
	claim   Claim
	learned timer.Instant
	// offset is where the claim stands in the log, or notLogged.
	offset   recorder.Offset
	released bool
	answer   *handler.Response
	answered timer.Instant
	// place and keptPlace are the elements in the ledger's lists; keptPlace is
	// nil without an answer.
	place     *list.Element
	keptPlace *list.Element
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	l := &Ledger{
		entries:  map[ID]*entry{},
		order:    list.New(),
		volatile: map[ID]*entry{},
		kept:     list.New(),
	}
	for r := range l.byName {
		l.byName[r] = map[name][]*entry{}
	}

	return l
}

// Reserve decides about a claim and remembers it if it is granted.
func (l *Ledger) Reserve(now timer.Instant, c Claim) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if e, ok := l.entries[c.id]; ok && e.released {
		return NewDecision(VerdictSent, false, nil)
	}
	list := l.byName[c.Range()][c.name()]
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

// Learn remembers a claim that was made elsewhere and was not seen in the log.
func (l *Ledger) Learn(now timer.Instant, c Claim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.entries[c.id]; !ok {
		l.add(now, c, notLogged)
	}
}

// Logged remembers what one record of the log holds.
func (l *Ledger) Logged(now timer.Instant, offset recorder.Offset, b Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range b.claims {
		e, ok := l.entries[c.id]
		if !ok {
			e = l.add(now, c, offset)
		}
		e.offset = offset
		delete(l.volatile, c.id)
	}
	for _, c := range b.releases {
		l.release(now, c)
	}
	l.expire(now)
}

// Settle remembers what became of a claimed request.
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
	if s.answer == nil || e.answer != nil || e.released || len(s.answer.Body()) > maxAnswer {
		return
	}
	e.answer = s.answer
	e.answered = now
	e.keptPlace = l.kept.PushBack(e)
	l.answerBytes += len(s.answer.Body())
	for l.answerBytes > maxAnswers {
		l.forgetAnswer()
	}
}

// Durable reports whether the claim was seen in the log.
func (l *Ledger) Durable(id ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]

	return ok && e.offset != notLogged
}

// Volatile returns up to n claims that were learned before the instant and are
// neither released nor seen in the log.
func (l *Ledger) Volatile(before timer.Instant, n int) []Claim {
	l.mu.Lock()
	defer l.mu.Unlock()
	var claims []Claim
	for _, e := range l.volatile {
		if len(claims) == n {
			break
		}
		if e.learned.Before(before) {
			claims = append(claims, e.claim)
		}
	}

	return claims
}

// Recall returns the claims of the range that stand at or after the offset of
// the log, were not seen in it, or have an answer.
func (l *Ledger) Recall(r member.Range, from recorder.Offset) []Settlement {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []Settlement
	for _, list := range l.byName[r] {
		for _, e := range list {
			if e.offset == notLogged || e.offset >= from || e.answer != nil {
				found = append(found, NewAnswer(e.claim, e.answer))
			}
		}
	}

	return found
}

// Len returns the number of claims remembered.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return len(l.entries)
}

// add remembers a new claim.
func (l *Ledger) add(now timer.Instant, c Claim, offset recorder.Offset) *entry {
	e := &entry{
		claim:   c,
		learned: now,
		offset:  offset,
	}
	e.place = l.order.PushBack(e)
	l.entries[c.id] = e
	l.byName[c.Range()][c.name()] = append(l.byName[c.Range()][c.name()], e)
	if offset == notLogged {
		l.volatile[c.id] = e
	}

	return e
}

// release frees the key of a claim, and remembers that the claim is spent.
func (l *Ledger) release(now timer.Instant, c Claim) {
	e, ok := l.entries[c.id]
	if !ok {
		e = l.add(now, c, notLogged)
	}
	e.released = true
	delete(l.volatile, c.id)
	l.unlist(e)
}

// unlist takes an entry out of those of its key.
func (l *Ledger) unlist(e *entry) {
	n := e.claim.name()
	names := l.byName[e.claim.Range()]
	names[n] = slices.DeleteFunc(names[n], func(o *entry) bool { return o == e })
	if len(names[n]) == 0 {
		delete(names, n)
	}
}

// expire forgets what is too old or too much.
func (l *Ledger) expire(now timer.Instant) {
	for f := l.kept.Front(); f != nil; f = l.kept.Front() {
		if e, ok := f.Value.(*entry); !ok || now.Sub(e.answered) < answerTime {
			break
		}
		l.forgetAnswer()
	}
	for f := l.order.Front(); f != nil; f = l.order.Front() {
		e, ok := f.Value.(*entry)
		if !ok || (now.Sub(e.learned) < retention && len(l.entries) <= maxEntries) {
			return
		}
		l.forget(e)
	}
}

func (l *Ledger) forget(e *entry) {
	l.order.Remove(e.place)
	delete(l.entries, e.claim.id)
	delete(l.volatile, e.claim.id)
	l.unlist(e)
	if e.keptPlace != nil {
		l.drop(e)
	}
}

// forgetAnswer forgets the oldest answer, but not its claim.
func (l *Ledger) forgetAnswer() {
	if e, ok := l.kept.Front().Value.(*entry); ok {
		l.drop(e)
	}
}

func (l *Ledger) drop(e *entry) {
	l.kept.Remove(e.keptPlace)
	l.answerBytes -= len(e.answer.Body())
	e.answer = nil
	e.keptPlace = nil
}
