// Package publisher appends changes of the manifest to the log and settles
// whether they count.
package publisher

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/internal/encoder"
	"github.com/lagoonkeel/lagoonkeel/internal/follower"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

type log interface {
	Append(ctx context.Context, stream recorder.Stream, data []byte) (recorder.Offset, error)
	Read(ctx context.Context, stream recorder.Stream, from recorder.Offset, wait time.Duration) (recorder.Batch, error)
}

// Publisher publishes manifests.
type Publisher struct {
	log log
}

// New returns a publisher to the log.
func New(l log) *Publisher {
	return &Publisher{
		log: l,
	}
}

// Publish appends the difference between the manifest in force and the wanted
// one, and returns the version in force afterwards.
func (p *Publisher) Publish(ctx context.Context, wanted *manifester.Manifest) (manifester.Version, error) {
	state := follower.NewState(decoder.Change)
	if err := p.catchUp(ctx, state); err != nil {
		return manifester.NoVersion, err
	}
	id, err := newID()
	if err != nil {
		return manifester.NoVersion, err
	}
	change := state.Manifest().Diff(id, wanted)
	if change.Size() == 0 {
		return state.Manifest().Version(), nil
	}
	data, err := encoder.Change(change)
	if err != nil {
		return manifester.NoVersion, errors.Wrap(err, "encoding the change")
	}
	offset, err := p.log.Append(ctx, recorder.StreamConfig, data)
	if err != nil {
		return manifester.NoVersion, errors.Wrap(err, "appending the change")
	}

	return p.settle(ctx, state, offset)
}

// settle reads up to the appended record and returns its version if it counts.
func (p *Publisher) settle(ctx context.Context, state *follower.State, offset recorder.Offset) (manifester.Version, error) {
	batch, err := p.log.Read(ctx, recorder.StreamConfig, state.Next(), 0)
	if err != nil {
		return manifester.NoVersion, errors.Wrap(err, "reading the change back")
	}
	for _, r := range batch.Records() {
		_, err := state.Apply(r)
		if r.Offset() == offset {
			return state.Manifest().Version(), errors.Wrap(err, "the change does not count")
		}
	}

	return manifester.NoVersion, recorder.NewUnavailableError(recorder.StreamConfig, true, nil)
}

func (p *Publisher) catchUp(ctx context.Context, state *follower.State) error {
	for {
		batch, err := p.log.Read(ctx, recorder.StreamConfig, state.Next(), 0)
		if err != nil {
			return errors.Wrap(err, "reading the manifest in force")
		}
		for _, r := range batch.Records() {
			_, _ = state.Apply(r) // A record that does not count is skipped by every VM.
		}
		if state.Next() >= batch.Head() {
			return nil
		}
	}
}

// idBytes is the number of random bytes in a publish id.
const idBytes = 16

func newID() (manifester.ChangeID, error) {
	var b [idBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", errors.Wrap(err, "reading random bytes")
	}

	return manifester.ChangeID(hex.EncodeToString(b[:])), nil
}
