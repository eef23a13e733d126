package follower

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// readWait is how long one read waits for a new record.
	readWait = 2 * time.Second
	// retryPause is the time between reads while the log is unavailable.
	retryPause = 250 * time.Millisecond
)

type logReader interface {
	Read(ctx context.Context, stream recorder.Stream, from recorder.Offset, wait time.Duration) (recorder.Batch, error)
}

type timers interface {
	After(d time.Duration) *timer.Subscription
}

// Follower is the controller of the manifest in force.
type Follower struct {
	log    logReader
	timers timers
	logger *logger.Logger
	// state belongs to the goroutine of Run.
	state *State
	// current is swapped on each accepted change; never nil.
	current atomic.Pointer[manifester.Manifest]
	// caughtUp is set once the head of the log was reached.
	caughtUp atomic.Bool
}

// New returns a follower of the log.
func New(log logReader, decode DecodeChange, timers timers, l *logger.Logger) *Follower {
	f := &Follower{
		log:    log,
		timers: timers,
		logger: l,
		state:  NewState(decode),
	}
	f.current.Store(f.state.Manifest())

	return f
}

// Name returns the controller's name.
func (f *Follower) Name() string { return "follower" }

// Manifest returns the manifest in force.
func (f *Follower) Manifest() *manifester.Manifest {
	return f.current.Load()
}

// Ready reports whether the follower has once reached the head of the log.
func (f *Follower) Ready() bool {
	return f.caughtUp.Load()
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	available := true
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if (err == nil) != available {
			available = err == nil
			f.logAvailability(err)
		}
		if err != nil {
			f.pause(ctx)
		}
	}

	return nil
}

func (f *Follower) readOnce(ctx context.Context) error {
	wait := readWait
	if !f.Ready() {
		wait = 0
	}
	batch, err := f.log.Read(ctx, recorder.StreamConfig, f.state.Next(), wait)
	if err != nil {
		return errors.Wrap(err, "following the configuration")
	}
	for _, r := range batch.Records() {
		f.apply(r)
	}
	if f.state.Next() >= batch.Head() {
		f.caughtUp.Store(true)
	}

	return nil
}

func (f *Follower) apply(r recorder.Record) {
	c, err := f.state.Apply(r)
	if err != nil {
		f.logger.Log(logger.ChangeSkipped, logger.Int("offset", int64(r.Offset())), logger.Failure(err))

		return
	}
	if c == nil {
		return
	}
	f.current.Store(f.state.Manifest())
	f.logger.Log(logger.ChangeApplied, logger.Int("version", int64(r.Offset())), logger.Text("change", string(c.ID())), logger.Int("objects", int64(c.Size())))
}

func (f *Follower) logAvailability(err error) {
	if err != nil {
		f.logger.Log(logger.LogUnavailable, logger.Failure(err))

		return
	}
	f.logger.Log(logger.LogAvailable)
}

func (f *Follower) pause(ctx context.Context) {
	t := f.timers.After(retryPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.Due():
	}
}
