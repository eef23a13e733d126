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
	// recallTimeout bounds the question to one member.
	recallTimeout = 700 * time.Millisecond
	// settledTime is how long the log must have answered without a failure
	// until no claim of an earlier outage can be missing from it.
	settledTime = 5 * time.Second
	// notePeriod is the time between two looks at the holders.
	notePeriod = time.Second
)

type membership interface {
	// Active reports whether this VM may act as holder at this moment.
	Active(r member.Range) (member.Term, bool)
	// Holder returns the member that should hold the range.
	Holder(r member.Range) member.VM
	// Self returns this VM.
	Self() member.VM
	// Peers returns every other member.
	Peers() []member.VM
}

type peers interface {
	// Claim asks the holder to decide about a claim.
	Claim(ctx context.Context, to member.VM, c Claim) (Decision, error)
	// Settle tells the holder what became of a claim.
	Settle(ctx context.Context, to member.VM, s Settlement) error
	// Recall asks a member for the claims of a range that stand at or after the
	// offset of the log, or that it did not see in the log.
	Recall(ctx context.Context, to member.VM, r member.Range, from recorder.Offset) ([]Settlement, error)
	// Remember asks a member to remember a claim that is not in the log.
	Remember(ctx context.Context, to member.VM, c Claim) error
}

// Holder decides about the claims of the ranges that this VM holds. In each
// new term it first makes its knowledge of the range complete: it reads the
// log to its head and asks the members for what they remember.
type Holder struct {
	ledger  *Ledger
	journal *Journal
	members membership
	peers   peers
	timers  timers
	logger  *logger.Logger
	// mu guards covered and earlier; it is never held during I/O.
	mu sync.Mutex
	// covered maps ranges to the state of their knowledge.
	covered map[member.Range]*coverage
	// earlier maps ranges to the last holder seen other than this VM.
	earlier map[member.Range]member.ID
}

// coverage is the knowledge of one range in one term. Its lock is held by the
// one that completes the knowledge, so that others wait for it.
type coverage struct {
	busy chan struct{}
	term member.Term
	// complete is set once the knowledge is complete in the term.
	complete bool
}

// NewHolder returns the holder of a ledger.
func NewHolder(l *Ledger, j *Journal, m membership, p peers, t timers, log *logger.Logger) *Holder {
	return &Holder{
		ledger:  l,
		journal: j,
		members: m,
		peers:   p,
		timers:  t,
		logger:  log,
		covered: map[member.Range]*coverage{},
		earlier: map[member.Range]member.ID{},
	}
}

// Name returns the controller's name.
func (h *Holder) Name() string { return "claims-holder" }

// Run notes who holds the ranges until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	h.note()
	h.timers.Every(notePeriod).Each(ctx, func(timer.Instant) { h.note() })

	return nil
}

// note remembers the holder of each range that another VM holds.
func (h *Holder) note() {
	self := h.members.Self().ID()
	for r := range member.Range(member.RangeCount) {
		if id := h.members.Holder(r).ID(); id != self {
			h.mu.Lock()
			h.earlier[r] = id
			h.mu.Unlock()
		}
	}
}

// Claim decides about a claim. A granted claim stands in the log or, while the
// log is down, in the memory of two VMs once its sender remembers it.
func (h *Holder) Claim(ctx context.Context, c Claim) Decision {
	r := c.Range()
	term, active := h.members.Active(r)
	if !active {
		return NewDecision(VerdictNotHolder, false, nil)
	}
	if !h.cover(ctx, r, term) {
		return NewDecision(VerdictUnavailable, false, nil)
	}
	if !h.still(r, term) {
		return NewDecision(VerdictNotHolder, false, nil)
	}
	d := h.ledger.Reserve(h.timers.Now(), c)
	if d.verdict != VerdictGranted || d.durable {
		return d
	}
	durable := h.journal.Append(ctx, c)
	if ctx.Err() != nil || (!durable && !h.remembered(ctx, c)) {
		return NewDecision(VerdictUnavailable, false, nil)
	}
	// The lease may have lapsed meanwhile: then the next holder may have read
	// the log before the claim stood in it.
	if !h.still(r, term) {
		return NewDecision(VerdictNotHolder, false, nil)
	}

	return NewDecision(VerdictGranted, durable, nil)
}

// still reports whether this VM holds the range at this moment, in the term.
func (h *Holder) still(r member.Range, term member.Term) bool {
	now, active := h.members.Active(r)

	return active && now == term
}

// remembered reports whether a claim that is not in the log is remembered by
// another VM, be it the sender or a witness.
func (h *Holder) remembered(ctx context.Context, c Claim) bool {
	return c.sender != h.members.Self().ID() || h.witness(ctx, c)
}

// Settle remembers what became of a claim.
func (h *Holder) Settle(s Settlement) {
	h.ledger.Settle(h.timers.Now(), s)
}

// Remember remembers a claim that another VM could not write to the log.
func (h *Holder) Remember(c Claim) {
	h.ledger.Learn(h.timers.Now(), c)
}

// witness has one other VM remember a claim whose holder is also its sender.
// A fleet of one VM has nobody to ask.
func (h *Holder) witness(ctx context.Context, c Claim) bool {
	list := h.members.Peers()
	start := int(c.Range())
	for i := range list {
		if h.ask(ctx, list[(start+i)%len(list)], c) {
			return true
		}
	}

	return len(list) == 0
}

func (h *Holder) ask(ctx context.Context, to member.VM, c Claim) bool {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()

	return h.peers.Remember(ctx, to, c) == nil
}

// cover makes the knowledge of the range complete for the term and reports
// whether it is.
func (h *Holder) cover(ctx context.Context, r member.Range, term member.Term) bool {
	k := h.coverage(r)
	select {
	case k.busy <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-k.busy }()
	if k.complete && k.term == term {
		return true
	}
	k.term = term
	k.complete = h.complete(ctx, r)
	if !k.complete {
		h.logger.Log(logger.ClaimsIncomplete, logger.Int("range", int64(r)))
	}

	return k.complete
}

func (h *Holder) coverage(r member.Range) *coverage {
	h.mu.Lock()
	defer h.mu.Unlock()
	k, ok := h.covered[r]
	if !ok {
		k = &coverage{
			busy: make(chan struct{}, 1),
		}
		h.covered[r] = k
	}

	return k
}

// complete reads the log and asks the members. While the log is down, or was a
// moment ago, every VM must answer but the earlier holder: what that one
// granted is remembered by the senders.
func (h *Holder) complete(ctx context.Context, r member.Range) bool {
	from := h.journal.Position()
	read := h.journal.CatchUp(ctx) == nil
	silent, answered := h.recall(ctx, r, from)
	if since, up := h.journal.Up(h.timers.Now()); read && up && since > settledTime {
		return true
	}
	if !h.journal.Known() && answered == 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()

	return len(silent) == 0 || (len(silent) == 1 && silent[0] == h.earlier[r])
}

// recall learns what the other VMs remember. It returns those that did not
// answer and the number of those that did.
func (h *Holder) recall(ctx context.Context, r member.Range, from recorder.Offset) (silent []member.ID, answered int) {
	list := h.members.Peers()
	answers := make([][]Settlement, len(list))
	failed := make([]bool, len(list))
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	var g errgroup.Group
	for i, p := range list {
		g.Go(func() error {
			got, err := h.peers.Recall(ctx, p, r, from)
			answers[i] = got
			failed[i] = err != nil

			return nil
		})
	}
	_ = g.Wait() // Failures are in the slice.
	now := h.timers.Now()
	for i, p := range list {
		if failed[i] {
			silent = append(silent, p.ID())

			continue
		}
		answered++
		for _, s := range answers[i] {
			h.ledger.Learn(now, s.claim)
			h.ledger.Settle(now, s)
		}
	}

	return silent, answered
}
