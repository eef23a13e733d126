package follower

import (
	"math"
	"slices"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// FreshFor is how long the state counts as fresh after it was last known to be
// complete, or after a majority of the polled peers and this VM last answered.
// Together with the time that a record takes to reach a connected VM, it stays
// below the 5 s within which a withdrawn key stops working.
const FreshFor = 4 * time.Second

// never is an instant before all others; it stands for no instant.
const never timer.Instant = math.MinInt64 / 2

// PeerPosition is a peer's answer about its own position.
type PeerPosition struct {
	peer member.ID
	// sent is when the request to the peer was sent; the answer cannot be older.
	sent timer.Instant
	// next is the offset of the peer's next record.
	next recorder.Offset
	// asOf is an instant at which the peer's state was complete, or never if the
	// peer knows of none.
	asOf  timer.Instant
	ready bool
}

// NewPeerPosition returns a peer's answer to a request that was sent at the instant.
func NewPeerPosition(peer member.ID, sent timer.Instant, p Position) PeerPosition {
	asOf := never
	if p.known {
		asOf = sent.Add(-p.age)
	}

	return PeerPosition{
		peer:  peer,
		sent:  sent,
		next:  p.next,
		asOf:  asOf,
		ready: p.ready,
	}
}

// Freshness decides until when the state may be treated as current. It does no
// I/O and belongs to one goroutine.
type Freshness struct {
	// asOf is the last instant at which the state was known to hold every
	// record of the log.
	asOf timer.Instant
	// lastLogCall is when the latest call to the log that has ended began.
	lastLogCall timer.Instant
	// maxPeerNext is the highest next offset that any peer has reported.
	maxPeerNext recorder.Offset
	// polled holds the peers that are polled; a majority is counted among them
	// and this VM.
	polled []member.ID
	// answered maps a peer to the instant at which the latest request that it
	// answered was sent. An answer is not counted if any peer has reported a record
	// that the state lacks.
	answered map[member.ID]timer.Instant
	// confirmed is set once the log or a ready peer had no record that the state
	// lacked.
	confirmed bool
}

// NewFreshness returns the freshness of a state that nothing has confirmed yet.
func NewFreshness() *Freshness {
	return &Freshness{
		asOf:        never,
		lastLogCall: never,
		answered:    map[member.ID]timer.Instant{},
	}
}

// SetPeers sets the peers that are polled.
func (f *Freshness) SetPeers(peers []member.ID) {
	f.polled = peers
	for id := range f.answered {
		if !slices.Contains(peers, id) {
			delete(f.answered, id)
		}
	}
}

// LogCallEnded notes that a call to the log that began at the instant has ended,
// successfully or not.
func (f *Freshness) LogCallEnded(began timer.Instant) {
	f.lastLogCall = max(f.lastLogCall, began)
}

// CaughtUp notes that the state held every record that the log had when the
// read was sent.
func (f *Freshness) CaughtUp(sent timer.Instant) {
	f.asOf = max(f.asOf, sent)
	f.confirmed = true
}

// PeerAnswered notes a peer's answer; next is the offset of the next record that
// the state will apply.
func (f *Freshness) PeerAnswered(p PeerPosition, next recorder.Offset) {
	f.maxPeerNext = max(f.maxPeerNext, p.next)
	if f.maxPeerNext > next || !slices.Contains(f.polled, p.peer) {
		return
	}
	f.answered[p.peer] = max(p.sent, f.answered[p.peer])
	f.asOf = max(f.asOf, p.asOf)
	f.confirmed = f.confirmed || p.ready
}

// Confirmed reports whether the log or a ready peer has ever confirmed the state.
func (f *Freshness) Confirmed() bool { return f.confirmed }

// AsOf returns the last instant at which the state was known to be complete;
// known is false if there is none.
func (f *Freshness) AsOf() (asOf timer.Instant, known bool) {
	return f.asOf, f.asOf != never
}

// Until returns the instant from which the state must not be treated as current,
// unless a later answer of the log or of peers extends it.
func (f *Freshness) Until() timer.Instant {
	return max(f.asOf, f.majority()).Add(FreshFor)
}

// majority returns the latest instant since which a majority of the polled peers
// and this VM has answered, or never. A VM without peers is a majority by itself,
// but must have called the log.
func (f *Freshness) majority() timer.Instant {
	others := (len(f.polled) + 1) / 2
	if others == 0 {
		return f.lastLogCall
	}
	if len(f.answered) < others {
		return never
	}
	instants := make([]timer.Instant, 0, len(f.answered))
	for _, t := range f.answered {
		instants = append(instants, t)
	}
	slices.Sort(instants)

	return instants[len(instants)-others]
}
