package follower

import (
	"math"
	"slices"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// FreshFor is how long word of the log's head, or of a majority, is good for
// deciding by the state. With the time that a record takes to a VM that is
// reached, it stays below the 5 s within which a withdrawn key stops working.
const FreshFor = 4 * time.Second

// never is an instant before every other.
const never timer.Instant = math.MinInt64 / 2

// Word is what a peer said about its own position.
type Word struct {
	peer member.ID
	// sent is when the question to the peer was sent; the answer cannot be
	// older.
	sent timer.Instant
	// next is the offset of the peer's next record.
	next recorder.Offset
	// asOf is an instant at which the peer's state was complete; never is none.
	asOf  timer.Instant
	ready bool
}

// NewWord returns a peer's answer to a question that was sent at the instant.
func NewWord(peer member.ID, sent timer.Instant, p Position) Word {
	asOf := never
	if p.known {
		asOf = sent.Add(-p.age)
	}

	return Word{
		peer:  peer,
		sent:  sent,
		next:  p.next,
		asOf:  asOf,
		ready: p.ready,
	}
}

// Freshness decides until when the state may be taken as the one in force. It
// does no I/O and belongs to one goroutine.
type Freshness struct {
	// asOf is the last instant at which the state was known to hold every
	// record of the log.
	asOf timer.Instant
	// tried is when the last finished call of the log was begun.
	tried timer.Instant
	// seen is the highest position that any peer named.
	seen recorder.Offset
	// group holds the peers that are asked; a majority is counted among them
	// and this VM.
	group []member.ID
	// heard maps a peer of the group to the sending instant of its last answer
	// that named no record which the state lacks.
	heard map[member.ID]timer.Instant
	// complete is set once the log or a ready peer had no more than the state.
	complete bool
}

// NewFreshness returns the freshness of a state that nothing is known about.
func NewFreshness() *Freshness {
	return &Freshness{
		asOf:  never,
		tried: never,
		heard: map[member.ID]timer.Instant{},
	}
}

// Regroup sets the peers that are asked.
func (f *Freshness) Regroup(peers []member.ID) {
	f.group = peers
	for id := range f.heard {
		if !slices.Contains(peers, id) {
			delete(f.heard, id)
		}
	}
}

// LogTried notes that a call of the log that began at the instant has ended.
func (f *Freshness) LogTried(began timer.Instant) {
	f.tried = max(f.tried, began)
}

// LogReached notes that the state held every record of the log when a read was
// sent.
func (f *Freshness) LogReached(sent timer.Instant) {
	f.asOf = max(f.asOf, sent)
	f.complete = true
}

// PeerAnswered notes the word of a peer, while the state stands at next.
func (f *Freshness) PeerAnswered(w Word, next recorder.Offset) {
	f.seen = max(f.seen, w.next)
	if f.seen > next || !slices.Contains(f.group, w.peer) {
		return
	}
	f.heard[w.peer] = max(w.sent, f.heard[w.peer])
	f.asOf = max(f.asOf, w.asOf)
	f.complete = f.complete || w.ready
}

// Complete reports whether the log or a ready peer has once confirmed the state.
func (f *Freshness) Complete() bool { return f.complete }

// AsOf returns the last instant at which the state was known to be complete;
// known is false where there is none.
func (f *Freshness) AsOf() (asOf timer.Instant, known bool) {
	return f.asOf, f.asOf != never
}

// Until returns the instant from which on the state must not be taken as the
// one in force, unless there is more word by then.
func (f *Freshness) Until() timer.Instant {
	return max(f.asOf, f.majority()).Add(FreshFor)
}

// majority returns an instant since which a majority of the group was heard,
// this VM included. A VM without peers has a majority by itself, but has to
// have tried the log.
func (f *Freshness) majority() timer.Instant {
	others := (len(f.group) + 1) / 2
	if others == 0 {
		return f.tried
	}
	if len(f.heard) < others {
		return never
	}
	instants := make([]timer.Instant, 0, len(f.heard))
	for _, t := range f.heard {
		instants = append(instants, t)
	}
	slices.Sort(instants)

	return instants[len(instants)-others]
}
