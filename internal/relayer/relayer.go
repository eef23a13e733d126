// Package relayer replicates the configuration between VMs. Each VM polls its
// peers for how far they have followed the log, and fetches from them the records
// that it lacks, so that a VM that cannot reach the log still gets changes.
package relayer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/follower"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// pollPeriod is the time between two polls of a peer.
	pollPeriod = time.Second
	// pollTimeout bounds the wait for a peer's position.
	pollTimeout = time.Second
	// recordsTimeout and snapshotTimeout bound the calls that fetch what this VM lacks.
	recordsTimeout  = 2 * time.Second
	snapshotTimeout = time.Minute
)

// state is the follower's state, which applies records in log order.
type state interface {
	Position() follower.Position
	Offer(ctx context.Context, records []recorder.Record)
	Restore(ctx context.Context, m *manifester.Manifest, next recorder.Offset)
	ObservePeer(ctx context.Context, p follower.PeerPosition)
	SetPeers(ctx context.Context, peers []member.ID)
}

// peers is the client for calls to a peer at its address.
type peers interface {
	Position(ctx context.Context, address string) (follower.Position, error)
	// Records returns the records from the offset on, or false if the peer no
	// longer keeps them.
	Records(ctx context.Context, address string, from recorder.Offset) ([]recorder.Record, bool, error)
	Snapshot(ctx context.Context, address string) (*manifester.Manifest, recorder.Offset, error)
}

type viewer interface {
	View() *member.View
}

type timers interface {
	Now() timer.Instant
	Every(d time.Duration) *timer.Subscription
}

// Relayer is the controller that polls peers and fetches the records that this
// VM lacks.
type Relayer struct {
	state  state
	peers  peers
	viewer viewer
	timers timers
	// inFlight holds the ids of the peers with a poll in flight.
	inFlight sync.Map
	// fetching is set while missing records or a snapshot are fetched; there is one
	// fetch at a time.
	fetching atomic.Bool
	calls    sync.WaitGroup
}

// New returns a relayer between the state and the peers.
func New(s state, p peers, v viewer, t timers) *Relayer {
	return &Relayer{
		state:  s,
		peers:  p,
		viewer: v,
		timers: t,
	}
}

// Name returns the controller's name.
func (r *Relayer) Name() string { return "relayer" }

// Run polls the peers until ctx ends.
func (r *Relayer) Run(ctx context.Context) error {
	defer r.calls.Wait()
	r.pollAll(ctx)
	r.timers.Every(pollPeriod).Each(ctx, func(timer.Instant) { r.pollAll(ctx) })

	return nil
}

func (r *Relayer) pollAll(ctx context.Context) {
	polled := SelectPeers(r.viewer.View())
	ids := make([]member.ID, 0, len(polled))
	for _, p := range polled {
		ids = append(ids, p.ID())
	}
	r.state.SetPeers(ctx, ids)
	for _, p := range polled {
		if _, polling := r.inFlight.LoadOrStore(p.ID(), true); polling {
			continue
		}
		r.calls.Go(func() {
			defer r.inFlight.Delete(p.ID())
			r.poll(ctx, p)
		})
	}
}

// poll asks one peer for its position and fetches what this VM lacks.
func (r *Relayer) poll(ctx context.Context, p member.VM) {
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := r.timers.Now()
	position, err := r.peers.Position(limited, p.Address())
	if err != nil {
		return // A peer that does not answer confirms nothing.
	}
	if position.Next() > r.state.Position().Next() {
		r.fetch(ctx, p)
	}
	r.state.ObservePeer(ctx, follower.NewPeerPosition(p.ID(), sent, position))
}

// fetch gets the records that the peer has and this VM lacks. If it fails, the
// next poll of a peer that is ahead starts another fetch.
func (r *Relayer) fetch(ctx context.Context, p member.VM) {
	if !r.fetching.CompareAndSwap(false, true) {
		return
	}
	defer r.fetching.Store(false)
	limited, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	records, kept, err := r.peers.Records(limited, p.Address(), r.state.Position().Next())
	switch {
	case err != nil:
	case kept:
		r.state.Offer(ctx, records)
	default:
		r.fetchSnapshot(ctx, p)
	}
}

func (r *Relayer) fetchSnapshot(ctx context.Context, p member.VM) {
	limited, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	m, next, err := r.peers.Snapshot(limited, p.Address())
	if err == nil {
		r.state.Restore(ctx, m, next)
	}
}
