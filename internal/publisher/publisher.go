// Package publisher appends changes of the manifest to the log, finds out whether
// they were accepted, and waits until they are in force on the VMs.
package publisher

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/internal/encoder"
	"github.com/lagoonkeel/lagoonkeel/internal/follower"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/snapshotter"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// retryPause is the time between two attempts to call the log or the VMs.
	retryPause = 250 * time.Millisecond
	// DefaultWait is the default time for which a publication waits for the log, and then
	// for the VMs.
	DefaultWait = 10 * time.Second
)

type log interface {
	Append(ctx context.Context, stream recorder.Stream, data []byte) (recorder.Offset, error)
	Read(ctx context.Context, stream recorder.Stream, from recorder.Offset, wait time.Duration) (recorder.Batch, error)
}

type snapshotReader interface {
	// Newest returns the state of the newest complete snapshot in the log.
	Newest(ctx context.Context) (*manifester.Manifest, recorder.Offset, error)
}

type timers interface {
	Now() timer.Instant
	After(d time.Duration) *timer.Subscription
}

// Publisher publishes manifests.
type Publisher struct {
	log       log
	snapshots snapshotReader
	timers    timers
	// timeout is how long Publish retries calls to the log, and how long Wait retries
	// calls to the VMs.
	timeout time.Duration
}

// New returns a publisher to the log. The timeout limits the retries of Publish and of
// Wait, each from its own start.
func New(l log, s snapshotReader, t timers, timeout time.Duration) *Publisher {
	return &Publisher{
		log:       l,
		snapshots: s,
		timers:    t,
		timeout:   timeout,
	}
}

// Plan is a change that has not been published, with the state that it is based on.
type Plan struct {
	state  *follower.State
	change *manifester.Change
}

// InForce returns the manifest in force. Until the plan is published, this is the one
// that the change is based on.
func (p *Plan) InForce() *manifester.Manifest { return p.state.Manifest() }

// Change returns the change. Its size is 0 if the wanted manifest is in force.
func (p *Plan) Change() *manifester.Change { return p.change }

// Plan reads the manifest in force and returns the change that turns it into the
// wanted one.
func (p *Publisher) Plan(ctx context.Context, wanted *manifester.Manifest) (*Plan, error) {
	state := follower.NewState(decoder.Change)
	if _, err := p.catchUp(ctx, state, ""); err != nil {
		return nil, errors.Wrap(err, "reading the manifest in force")
	}

	return &Plan{
		state:  state,
		change: state.Manifest().Diff(manifester.ChangeID(rand.Text()), wanted),
	}, nil
}

// Publish appends the plan's change and returns the version in force afterwards. It
// appends nothing if the change is empty. The error is a *RaceError if another change
// took effect first, and an *UnsettledError if it could not be found out whether the
// change was accepted.
func (p *Publisher) Publish(ctx context.Context, plan *Plan) (manifester.Version, error) {
	if plan.change.Size() == 0 {
		return plan.state.Manifest().Version(), nil
	}
	data, err := encoder.Change(plan.change)
	if err != nil {
		return manifester.NoVersion, errors.Wrap(err, "encoding the change")
	}
	a := &attempt{
		publisher: p,
		plan:      plan,
		data:      data,
	}
	end := p.timers.Now().Add(p.timeout)
	for {
		r, err := a.run(ctx)
		if r != nil {
			return r.version, r.err
		}
		if !p.timers.Now().Before(end) {
			return manifester.NoVersion, &UnsettledError{
				id:    plan.change.ID(),
				cause: err,
			}
		}
		if err := p.pause(ctx); err != nil {
			return manifester.NoVersion, err
		}
	}
}

// outcome tells whether a published change was accepted.
type outcome struct {
	// version is the version in force after the change was read from the log or
	// found to be outdated.
	version manifester.Version
	// err is why the change was not accepted, or nil if it was.
	err error
}

// attempt is the publication of one change.
type attempt struct {
	publisher *Publisher
	plan      *Plan
	data      []byte
	// appended is set once the log has confirmed an append.
	appended bool
}

// run reads the log up to its head and appends the change if the log does not contain
// it. It returns nil if the outcome is not yet known. A record that is appended
// twice, after a lost response of the log, has no effect the second time, since
// its base version is no longer in force.
func (a *attempt) run(ctx context.Context) (*outcome, error) {
	state, change := a.plan.state, a.plan.change
	found, err := a.publisher.catchUp(ctx, state, change.ID())
	if found != nil || err != nil || a.appended {
		return found, err
	}
	if v := state.Manifest().Version(); v != change.Base() {
		return &outcome{
			version: v,
			err: &RaceError{
				base:    change.Base(),
				inForce: v,
			},
		}, nil
	}
	if _, err := a.publisher.log.Append(ctx, recorder.StreamConfig, a.data); err != nil {
		return nil, errors.Wrap(err, "appending the change")
	}
	a.appended = true

	return a.publisher.catchUp(ctx, state, change.ID())
}

// catchUp applies the records up to the head of the log. It returns the outcome of the
// change with the id once it has read the change's record, and nil if the log has none.
func (p *Publisher) catchUp(ctx context.Context, state *follower.State, id manifester.ChangeID) (*outcome, error) {
	for {
		batch, err := p.log.Read(ctx, recorder.StreamConfig, state.Next(), 0)
		var expired *recorder.ExpiredError
		if errors.As(err, &expired) {
			if err := p.restore(ctx, state, expired); err != nil {
				return nil, err
			}

			continue
		}
		if err != nil {
			return nil, err
		}
		for _, r := range batch.Records() {
			if found := applyRecord(state, r, id); found != nil {
				return found, nil
			}
		}
		if state.Next() >= batch.Head() {
			return nil, nil //nolint:nilnil // The change is not in the log.
		}
	}
}

// applyRecord applies one record. It returns the outcome of the change with the id if the
// record contains that change, else nil.
func applyRecord(state *follower.State, r recorder.Record, id manifester.ChangeID) *outcome {
	before := state.Manifest().Version()
	_, err := state.Apply(r)
	c, faults := decoder.Change(r.Data())
	if faults != nil || c.ID() != id {
		return nil
	}
	var conflict *manifester.ConflictError
	if errors.As(err, &conflict) {
		err = &RaceError{
			base:    c.Base(),
			inForce: before,
		}
	}

	return &outcome{
		version: state.Manifest().Version(),
		err:     err,
	}
}

// restore loads the newest snapshot in place of records that have expired. The error
// is a *snapshotter.MissingError if the snapshot is too old.
func (p *Publisher) restore(ctx context.Context, state *follower.State, expired *recorder.ExpiredError) error {
	m, next, err := p.snapshots.Newest(ctx)
	if err != nil {
		return err
	}
	if next < expired.First() || !state.Restore(m, next) {
		return &snapshotter.MissingError{}
	}

	return nil
}

// pause waits for retryPause before the next attempt.
func (p *Publisher) pause(ctx context.Context) error {
	if !p.timers.After(retryPause).Await(ctx) {
		return errors.Wrap(ctx.Err(), "publishing")
	}

	return nil
}
