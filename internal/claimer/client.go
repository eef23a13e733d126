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
func (cl *Client) Begin(ctx context.Context, deadline timer.Instant, team, key, fingerprint string) (Claim, Decision) {
	self := cl.members.Self()
	c := NewClaim(Spec{
		ID:          cl.ids.next(),
		Team:        team,
		Key:         key,
		Fingerprint: fingerprint,
		Sender:      self.ID(),
		Incarnation: self.Incarnation(),
	})
	cl.track(c)
	d := cl.awaitDecision(ctx, deadline, c)
	switch d.verdict {
	case VerdictGranted:
		cl.ledger.AddUnlogged(cl.timers.Now(), c)
		if !d.durable {
			cl.journal.Append(ctx, c) // If this fails too, the claim stays in memory only.
		}
	case VerdictUnavailable, VerdictNotHolder:
		cl.release(ctx, c)
	default:
		cl.untrack(c)
	}

	return c, d
}

// awaitDecision asks the holder until it decides, claimTimeout or the deadline
// passes, or ctx ends.
func (cl *Client) awaitDecision(ctx context.Context, deadline timer.Instant, c Claim) Decision {
	limit := min(claimTimeout, deadline.Sub(cl.timers.Now()))
	end := cl.timers.Now().Add(limit)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		d := cl.askHolder(ctx, c)
		if cl.timers.Now().After(end) { // This process may have been suspended since the decision.
			return NewDecision(VerdictUnavailable, false, nil)
		}
		if d.verdict != VerdictUnavailable && d.verdict != VerdictNotHolder {
			return d
		}
		if !cl.pause(ctx) {
			return d
		}
	}
}

func (cl *Client) askHolder(ctx context.Context, c Claim) Decision {
	to := cl.members.Holder(c.Range())
	if to.ID() == cl.members.Self().ID() {
		return cl.holder.Claim(ctx, c)
	}
	d, err := cl.peers.Claim(ctx, to, c)
	if err != nil {
		return NewDecision(VerdictUnavailable, false, nil)
	}

	return d
}

func (cl *Client) pause(ctx context.Context) bool {
	return cl.timers.After(claimRetryInterval).Await(ctx)
}

// Settle reports the outcome of the request of a granted claim. The claim is
// released if the request is known not to have run. Otherwise the key stays
// claimed, and the answer is stored unless it is nil.
func (cl *Client) Settle(ctx context.Context, c Claim, notRun bool, answer *handler.Response) {
	if notRun {
		cl.release(ctx, c)

		return
	}
	settlement := NewAnswerSettlement(c, answer)
	cl.ledger.Settle(cl.timers.Now(), settlement)
	cl.untrack(c)
	if answer != nil {
		cl.notifyHolder(ctx, settlement)
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
func (cl *Client) Recall(r member.Range, from recorder.Offset) ([]Settlement, error) {
	if !cl.journal.HasSynced() {
		return nil, &NotSyncedError{}
	}
	found := cl.ledger.Recall(r, from)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, c := range cl.inFlight {
		if c.Range() == r {
			found = append(found, NewAnswerSettlement(c, nil))
		}
	}

	return found, nil
}

// release releases a claim whose request was not sent or did not run.
func (cl *Client) release(ctx context.Context, c Claim) {
	settlement := NewReleaseSettlement(c)
	cl.ledger.Settle(cl.timers.Now(), settlement)
	cl.untrack(c)
	cl.journal.Release(c)
	cl.notifyHolder(ctx, settlement)
}

// notifyHolder passes a settlement to the holder. If the call fails, the holder
// reads a release from the log, but it does not get the answer.
func (cl *Client) notifyHolder(ctx context.Context, settlement Settlement) {
	to := cl.members.Holder(settlement.claim.Range())
	if to.ID() == cl.members.Self().ID() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	_ = cl.peers.Settle(ctx, to, settlement) // A failure is tolerated, see above.
}

func (cl *Client) track(c Claim) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.inFlight[c.id] = c
}

func (cl *Client) untrack(c Claim) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	delete(cl.inFlight, c.id)
}
