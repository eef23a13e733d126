package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// claimTimeout bounds how long a request waits for the holder's decision. It
	// must be shorter than logStableTime: a new holder relies on no earlier
	// decision being in progress.
	claimTimeout = 3 * time.Second
	// claimRetryInterval is the delay before the holder is asked again.
	claimRetryInterval = 100 * time.Millisecond
	// settleTimeout bounds the call that passes a settlement to the holder.
	settleTimeout = 300 * time.Millisecond
)

// Client requests claims for the requests that this VM receives. It tracks each
// claim from before the holder is asked until the claim is refused or settled,
// so that a new holder can recall it whatever the previous holder decided.
type Client struct {
	ledger  *Ledger
	journal *Journal
	holder  *Holder
	members membership
	peers   peers
	timers  timers
	ids     *idGenerator
	// mu guards inFlight.
	mu sync.Mutex
	// inFlight holds the claims that were requested and are neither refused nor
	// settled, by id.
	inFlight map[ID]Claim
}

// NewClient returns a client that uses the local holder for the ranges that this
// VM holds, and the holders of its peers for the others.
func NewClient(h *Holder) *Client {
	return &Client{
		ledger:   h.ledger,
		journal:  h.journal,
		holder:   h,
		members:  h.members,
		peers:    h.peers,
		timers:   h.timers,
		ids:      newIDGenerator(),
		inFlight: map[ID]Claim{},
	}
}

// Begin requests a claim for a request. The request may be sent only if the claim
// is granted; a granted claim must be settled once by Settle.
func (s *Client) Begin(ctx context.Context, deadline timer.Instant, team, key, fingerprint string) (Claim, Decision) {
	self := s.members.Self()
	c := NewClaim(Spec{
		ID:          s.ids.next(),
		Team:        team,
		Key:         key,
		Fingerprint: fingerprint,
		Sender:      self.ID(),
		Incarnation: self.Incarnation(),
	})
	s.track(c)
	d := s.awaitDecision(ctx, deadline, c)
	switch d.verdict {
	case VerdictGranted:
		s.ledger.AddUnlogged(s.timers.Now(), c)
		if !d.durable {
			s.journal.Append(ctx, c) // If this fails too, the claim stays in memory only.
		}
	case VerdictUnavailable, VerdictNotHolder:
		s.release(ctx, c)
	default:
		s.untrack(c)
	}

	return c, d
}

// awaitDecision asks the holder until it decides, claimTimeout or the deadline
// passes, or ctx ends.
func (s *Client) awaitDecision(ctx context.Context, deadline timer.Instant, c Claim) Decision {
	limit := min(claimTimeout, deadline.Sub(s.timers.Now()))
	end := s.timers.Now().Add(limit)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		d := s.askHolder(ctx, c)
		if s.timers.Now().After(end) { // This process may have been suspended since the decision.
			return NewDecision(VerdictUnavailable, false, nil)
		}
		if d.verdict != VerdictUnavailable && d.verdict != VerdictNotHolder {
			return d
		}
		if !s.pause(ctx) {
			return d
		}
	}
}

func (s *Client) askHolder(ctx context.Context, c Claim) Decision {
	to := s.members.Holder(c.Range())
	if to.ID() == s.members.Self().ID() {
		return s.holder.Claim(ctx, c)
	}
	d, err := s.peers.Claim(ctx, to, c)
	if err != nil {
		return NewDecision(VerdictUnavailable, false, nil)
	}

	return d
}

func (s *Client) pause(ctx context.Context) bool {
	return s.timers.After(claimRetryInterval).Await(ctx)
}

// Settle reports the outcome of the request of a granted claim. The claim is
// released if the request is known not to have run. Otherwise the key stays
// claimed, and the answer is stored unless it is nil.
func (s *Client) Settle(ctx context.Context, c Claim, notRun bool, answer *handler.Response) {
	if notRun {
		s.release(ctx, c)

		return
	}
	settlement := NewAnswerSettlement(c, answer)
	s.ledger.Settle(s.timers.Now(), settlement)
	s.untrack(c)
	if answer != nil {
		s.notifyHolder(ctx, settlement)
	}
}

// NotSyncedError reports that this VM cannot list the claims of a range, since it
// has not read the claims stream to its head since its start.
type NotSyncedError struct{}

// Error implements error.
func (e *NotSyncedError) Error() string {
	return "this VM has not read the claims stream since its start and cannot speak for it; ask again when the log is up"
}

// Recall returns the claims of the range that are in flight on this VM, and those
// that Ledger.Recall returns. The error is a *NotSyncedError.
func (s *Client) Recall(r member.Range, from recorder.Offset) ([]Settlement, error) {
	if !s.journal.HasSynced() {
		return nil, &NotSyncedError{}
	}
	found := s.ledger.Recall(r, from)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.inFlight {
		if c.Range() == r {
			found = append(found, NewAnswerSettlement(c, nil))
		}
	}

	return found, nil
}

// release releases a claim whose request was not sent or did not run.
func (s *Client) release(ctx context.Context, c Claim) {
	settlement := NewReleaseSettlement(c)
	s.ledger.Settle(s.timers.Now(), settlement)
	s.untrack(c)
	s.journal.Release(c)
	s.notifyHolder(ctx, settlement)
}

// notifyHolder passes a settlement to the holder. If the call fails, the holder
// reads a release from the log, but it does not get the answer.
func (s *Client) notifyHolder(ctx context.Context, settlement Settlement) {
	to := s.members.Holder(settlement.claim.Range())
	if to.ID() == s.members.Self().ID() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	_ = s.peers.Settle(ctx, to, settlement) // A failure is tolerated, see above.
}

func (s *Client) track(c Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[c.id] = c
}

func (s *Client) untrack(c Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, c.id)
}
