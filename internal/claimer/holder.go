package claimer

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// peerTimeout bounds the Recall and Remember calls to peers.
	peerTimeout = 700 * time.Millisecond
	// logStableTime is how long calls to the log must have succeeded without a
	// failure before it is taken to contain every claim of an earlier outage.
	logStableTime = 5 * time.Second
	// holderCheckPeriod is the interval at which the holders of ranges are recorded.
	holderCheckPeriod = time.Second
)

type membership interface {
	// Active reports whether this VM may act as the holder of the range at this
	// moment, and in which term.
	Active(r member.Range) (member.Term, bool)
	// Holder returns the member that should hold the range.
	Holder(r member.Range) member.VM
	// Self returns this VM.
	Self() member.VM
	// Peers returns every other known VM, also those that are not members.
	Peers() []member.VM
}

type peers interface {
	// Claim asks the holder to decide on a claim.
	Claim(ctx context.Context, to member.VM, c Claim) (Decision, error)
	// Settle notifies the holder of the outcome of a claim.
	Settle(ctx context.Context, to member.VM, s Settlement) error
	// Recall asks a peer for the claims of a range that are at or after the
	// offset in the log, were not seen in the log, or have an answer.
	Recall(ctx context.Context, to member.VM, r member.Range, from recorder.Offset) ([]Settlement, error)
	// Remember asks a peer to store a claim that is not in the log.
	Remember(ctx context.Context, to member.VM, c Claim) error
}

// Holder decides on the claims of the ranges that this VM holds. In each new
// term it first loads all claims of the range: it reads the log to its head and
// recalls the claims that its peers have in memory.
type Holder struct {
	ledger  *Ledger
	journal *Journal
	members membership
	peers   peers
	timers  timers
	logger  *logger.Logger
	// mu guards ranges and previous; it is never held during I/O.
	mu sync.Mutex
	// ranges maps ranges to the state of loading their claims.
	ranges map[member.Range]*rangeState
	// previous maps ranges to the last known holder other than this VM.
	previous map[member.Range]member.ID
}

// rangeState records whether the claims of one range are loaded.
type rangeState struct {
	// lock guards the other fields and is held while the claims are loaded. It
	// is a channel, so that waiting for it ends with a context.
	lock chan struct{}
	term member.Term
	// complete is set once all claims of the range are loaded in the term.
	complete bool
}

// NewHolder returns a holder that stores claims in the ledger.
func NewHolder(l *Ledger, j *Journal, m membership, p peers, t timers, log *logger.Logger) *Holder {
	return &Holder{
		ledger:   l,
		journal:  j,
		members:  m,
		peers:    p,
		timers:   t,
		logger:   log,
		ranges:   map[member.Range]*rangeState{},
		previous: map[member.Range]member.ID{},
	}
}

// Name returns the controller's name.
func (h *Holder) Name() string { return "claims-holder" }

// Run records the holders of the ranges periodically until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	h.recordHolders()
	h.timers.Every(holderCheckPeriod).Each(ctx, func(timer.Instant) { h.recordHolders() })

	return nil
}

// recordHolders records the holder of each range that another VM holds.
func (h *Holder) recordHolders() {
	self := h.members.Self().ID()
	for r := range member.Range(member.RangeCount) {
		if id := h.members.Holder(r).ID(); id != self {
			h.mu.Lock()
			h.previous[r] = id
			h.mu.Unlock()
		}
	}
}

// Claim decides on a claim. A granted claim is in the log or, if the log did not
// confirm it, in the memory of two VMs: the holder and either the sender or a
// peer. In a fleet of one VM it is in the memory of that VM only.
func (h *Holder) Claim(ctx context.Context, c Claim) Decision {
	r := c.Range()
	term, active := h.members.Active(r)
	if !active {
		return NewDecision(VerdictNotHolder, false, nil)
	}
	if !h.ensureComplete(ctx, r, term) {
		return NewDecision(VerdictUnavailable, false, nil)
	}
	if !h.holds(r, term) {
		return NewDecision(VerdictNotHolder, false, nil)
	}
	d := h.ledger.Reserve(h.timers.Now(), c)
	if d.verdict != VerdictGranted || d.durable {
		return d
	}
	durable := h.journal.Append(ctx, c)
	if ctx.Err() != nil || (!durable && !h.replicated(ctx, c)) {
		return NewDecision(VerdictUnavailable, false, nil)
	}
	// The lease may have expired in the meantime, and the next holder may have
	// read the log before the claim was written to it.
	if !h.holds(r, term) {
		return NewDecision(VerdictNotHolder, false, nil)
	}

	return NewDecision(VerdictGranted, durable, nil)
}

// holds reports whether this VM still holds the range in the term.
func (h *Holder) holds(r member.Range, term member.Term) bool {
	current, active := h.members.Active(r)

	return active && current == term
}

// replicated reports whether another VM stores a claim that is not in the log.
// A remote sender stores its own claims; other claims are replicated to a peer.
func (h *Holder) replicated(ctx context.Context, c Claim) bool {
	return c.sender != h.members.Self().ID() || h.replicate(ctx, c)
}

// Settle stores the outcome of a claim.
func (h *Holder) Settle(s Settlement) {
	h.ledger.Settle(h.timers.Now(), s)
}

// Remember stores a claim that another VM could not write to the log.
func (h *Holder) Remember(c Claim) {
	h.ledger.AddUnlogged(h.timers.Now(), c)
}

// replicate stores a claim on one other VM and reports whether that succeeded.
// It also succeeds in a fleet of one VM.
func (h *Holder) replicate(ctx context.Context, c Claim) bool {
	list := h.members.Peers()
	start := int(c.Range())
	for i := range list {
		if h.storeAt(ctx, list[(start+i)%len(list)], c) {
			return true
		}
	}

	return len(list) == 0
}

func (h *Holder) storeAt(ctx context.Context, to member.VM, c Claim) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()

	return h.peers.Remember(ctx, to, c) == nil
}

// ensureComplete loads the claims of the range unless they are loaded in the
// term already, and reports whether all of them are known.
func (h *Holder) ensureComplete(ctx context.Context, r member.Range, term member.Term) bool {
	s := h.rangeState(r)
	select {
	case s.lock <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-s.lock }()
	if s.complete && s.term == term {
		return true
	}
	s.term = term
	s.complete = h.load(ctx, r)
	if !s.complete {
		h.logger.Log(logger.ClaimsIncomplete, logger.Int("range", int64(r)))
	}

	return s.complete
}

func (h *Holder) rangeState(r member.Range) *rangeState {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.ranges[r]
	if !ok {
		s = &rangeState{
			lock: make(chan struct{}, 1),
		}
		h.ranges[r] = s
	}

	return s
}

// load reads the log to its head, recalls claims from the peers and reports
// whether all claims of the range are known. If the log is down or came back
// within logStableTime, every peer must reply except the previous holder: the
// claims that it granted are also in the memory of another VM. If this VM has
// never read the log to its head, at least one peer must reply.
func (h *Holder) load(ctx context.Context, r member.Range) bool {
	from := h.journal.Position()
	read := h.journal.CatchUp(ctx) == nil
	missing, replied := h.recallFromPeers(ctx, r, from)
	if uptime, up := h.journal.Up(h.timers.Now()); read && up && uptime > logStableTime {
		return true
	}
	if !h.journal.HasSynced() && replied == 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()

	return len(missing) == 0 || (len(missing) == 1 && missing[0] == h.previous[r])
}

// recallFromPeers stores the claims that the peers report. It returns the peers
// whose call failed and the number of those that replied.
func (h *Holder) recallFromPeers(ctx context.Context, r member.Range, from recorder.Offset) (missing []member.ID, replied int) {
	list := h.members.Peers()
	replies := make([][]Settlement, len(list))
	failed := make([]bool, len(list))
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var g errgroup.Group
	for i, p := range list {
		g.Go(func() error {
			reply, err := h.peers.Recall(ctx, p, r, from)
			replies[i] = reply
			failed[i] = err != nil

			return nil
		})
	}
	_ = g.Wait() // Errors are recorded in failed.
	now := h.timers.Now()
	for i, p := range list {
		if failed[i] {
			missing = append(missing, p.ID())

			continue
		}
		replied++
		for _, s := range replies[i] {
			h.ledger.AddUnlogged(now, s.claim)
			h.ledger.Settle(now, s)
		}
	}

	return missing, replied
}
