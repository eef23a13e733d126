package snapshotter

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// checkPeriod is the time between checks whether a snapshot is due.
	checkPeriod = time.Second
	// retryDelay is the time between a failed write and the next one.
	retryDelay = 10 * time.Second
)

// EncodeChunk encodes a chunk as the data of a record.
type EncodeChunk func(*Chunk) ([]byte, error)

type logAppender interface {
	Append(ctx context.Context, stream recorder.Stream, data []byte) (recorder.Offset, error)
}

type stateSource interface {
	State() (*manifester.Manifest, recorder.Offset)
	// First returns the offset of the oldest record that the log keeps.
	First() recorder.Offset
	Ready() bool
}

type viewer interface {
	View() *member.View
}

type timers interface {
	Now() timer.Instant
	Every(d time.Duration) *timer.Subscription
}

// Snapshotter is the controller that writes snapshots while its VM is the writer:
// it is ready and has the lowest id in its own view. Two VMs that are both the
// writer do no harm, since each snapshot has an id of its own.
type Snapshotter struct {
	log    logAppender
	encode EncodeChunk
	state  stateSource
	viewer viewer
	timers timers
	logger *logger.Logger
	// policy and retryAt belong to the goroutine of Run.
	policy  *Policy
	retryAt timer.Instant
}

// New returns a snapshotter that writes to a log that keeps records for the
// given retention.
func New(l logAppender, e EncodeChunk, s stateSource, v viewer, t timers, retention time.Duration, out *logger.Logger) *Snapshotter {
	return &Snapshotter{
		log:    l,
		encode: e,
		state:  s,
		viewer: v,
		timers: t,
		logger: out,
		policy: NewPolicy(retention),
	}
}

// Name returns the controller's name.
func (s *Snapshotter) Name() string { return "snapshotter" }

// Run writes snapshots until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) error {
	s.timers.Every(checkPeriod).Each(ctx, func(timer.Instant) { s.check(ctx) })

	return nil
}

// IsWriter reports whether self has the lowest id in the view.
func IsWriter(v *member.View) bool {
	peers := v.Peers()

	return len(peers) == 0 || v.Self().ID() < peers[0].ID()
}

func (s *Snapshotter) check(ctx context.Context) {
	m, next := s.state.State()
	now := s.timers.Now()
	isWriter := IsWriter(s.viewer.View()) && s.state.Ready()
	if !s.policy.Due(now, isWriter, s.state.First(), next) || now.Before(s.retryAt) {
		return
	}
	count, err := s.write(ctx, m, next)
	if err != nil {
		s.retryAt = s.timers.Now().Add(retryDelay)
		s.logger.Log(logger.SnapshotFailed, logger.Failure(err))

		return
	}
	s.policy.Wrote(now, next)
	s.logger.Log(logger.SnapshotWritten, logger.Int("version", int64(m.Version())), logger.Int("next", int64(next)), logger.Int("chunks", int64(count)))
}

// write appends every chunk in order and returns their number. A failed append
// is not retried and the snapshot is abandoned: the chunk may be in the log
// already, and a chunk that is there twice makes the snapshot incomplete.
func (s *Snapshotter) write(ctx context.Context, m *manifester.Manifest, next recorder.Offset) (int, error) {
	chunks := Split(ID(rand.Text()), m, next)
	for _, c := range chunks {
		data, err := s.encode(c)
		if err != nil {
			return 0, err
		}
		if _, err := s.log.Append(ctx, recorder.StreamSnapshots, data); err != nil {
			return 0, errors.Wrapf(err, "appending chunk %d of %d", c.index, c.count)
		}
	}

	return len(chunks), nil
}
