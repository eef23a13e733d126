// Package relayer passes the configuration on between VMs. Each VM asks its
// peers regularly how far they have followed the log, and fetches from them
// what it lacks, so that one VM cut off from the log still gets a change.
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
	// askPeriod is the time between two questions to a peer.
	askPeriod = time.Second
	// askTimeout bounds the answer of a peer.
	askTimeout = time.Second
	// recordsTimeout and snapshotTimeout bound the fetching of what is missing.
	recordsTimeout  = 2 * time.Second
	snapshotTimeout = time.Minute
)

// state is the follower's state, which takes records in log order.
type state interface {
	Position() follower.Position
	Offer(ctx context.Context, records []recorder.Record)
	Restore(ctx context.Context, m *manifester.Manifest, next recorder.Offset)
	Hear(ctx context.Context, w follower.Word)
	Regroup(ctx context.Context, peers []member.ID)
}

// peers carries the questions to a peer's address.
type peers interface {
	Position(ctx context.Context, address string) (follower.Position, error)
	// Records returns the records from the offset on, or false where the peer
	// keeps them no more.
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

// Relayer is the controller that asks peers for their positions.
type Relayer struct {
	state  state
	peers  peers
	viewer viewer
	timers timers
	// busy holds the peers with a question underway.
	busy sync.Map
	// fetching is set while one peer is asked for what is missing.
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

// Run asks the peers until ctx ends.
func (r *Relayer) Run(ctx context.Context) error {
	defer r.calls.Wait()
	r.askAll(ctx)
	r.timers.Every(askPeriod).Each(ctx, func(timer.Instant) { r.askAll(ctx) })

	return nil
}

func (r *Relayer) askAll(ctx context.Context) {
	group := Group(r.viewer.View())
	ids := make([]member.ID, 0, len(group))
	for _, p := range group {
		ids = append(ids, p.ID())
	}
	r.state.Regroup(ctx, ids)
	for _, p := range group {
		if _, underway := r.busy.LoadOrStore(p.ID(), true); underway {
			continue
		}
		r.calls.Go(func() {
			defer r.busy.Delete(p.ID())
			r.ask(ctx, p)
		})
	}
}

// ask hears one peer and fetches what this VM lacks.
func (r *Relayer) ask(ctx context.Context, p member.VM) {
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sent := r.timers.Now()
	position, err := r.peers.Position(limited, p.Address())
	if err != nil {
		return // A peer that does not answer is not heard.
	}
	if position.Next() > r.state.Position().Next() {
		r.fetch(ctx, p)
	}
	r.state.Hear(ctx, follower.NewWord(p.ID(), sent, position))
}

// fetch brings the records that the peer has and this VM lacks. Where they
// cannot be had now, the next answer of a peer starts another try.
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
