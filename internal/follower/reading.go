package follower

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/snapshotter"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// readWait is how long one read waits for a new record. The age of its
	// result counts from the instant at which the read was sent.
	readWait = 500 * time.Millisecond
	// readCheckPeriod is the time between checks whether a read is due, and so between
	// reads while the log is unavailable.
	readCheckPeriod = 250 * time.Millisecond
	// overdueAfter is the time without an answer to the latest read after which
	// another is started beside it: its connection may be dead.
	overdueAfter = readWait + time.Second
	// maxReads bounds the reads in flight.
	maxReads = 4
	// replayLimit is the number of records behind the head above which a
	// snapshot is read first.
	replayLimit = 10_000
)

// readResult is the outcome of one read of the log.
type readResult struct {
	sent  timer.Instant
	from  recorder.Offset
	batch recorder.Batch
	err   error
	// snapshot replaces records that have expired or are too many to replay; nil
	// if it was not needed or could not be read.
	snapshot *restoration
}

// startReadIfDue starts a read if none is in flight or all are overdue.
func (f *Follower) startReadIfDue(ctx context.Context) {
	overdueBefore := f.timers.Now().Add(-overdueAfter)
	if len(f.reads) == 0 || (len(f.reads) < maxReads && !slices.Max(f.reads).After(overdueBefore)) {
		f.startRead(ctx)
	}
}

func (f *Follower) startRead(ctx context.Context) {
	sent := f.timers.Now()
	f.reads = append(f.reads, sent)
	from := f.state.Next()
	wait := readWait
	if !f.Ready() {
		wait = 0
	}
	f.readers.Go(func() {
		f.send(ctx, f.read(ctx, sent, from, wait))
	})
}

func (f *Follower) read(ctx context.Context, sent timer.Instant, from recorder.Offset, wait time.Duration) readResult {
	r := readResult{
		sent: sent,
		from: from,
	}
	r.batch, r.err = f.log.Read(ctx, recorder.StreamConfig, from, wait)
	var expired *recorder.ExpiredError
	behind := r.err == nil && int64(r.batch.Head())-int64(from) > replayLimit
	if !errors.As(r.err, &expired) && !behind {
		return r
	}
	m, next, err := f.snapshots.Newest(ctx)
	if err == nil && expired != nil && next < expired.First() {
		err = &snapshotter.MissingError{}
	}
	switch {
	case err == nil:
		r.err = nil
		r.snapshot = &restoration{
			manifest: m,
			next:     next,
		}
	case !behind:
		r.err = err
	}

	return r
}

// handle applies the result of a read and starts the next one.
func (r readResult) handle(ctx context.Context, f *Follower) {
	if i := slices.Index(f.reads, r.sent); i >= 0 {
		f.reads = slices.Delete(f.reads, i, i+1)
	}
	f.freshness.LogCallEnded(r.sent)
	f.setAvailable(r.err)
	if r.err != nil {
		return
	}
	f.first.Store(max(f.first.Load(), int64(r.batch.First())))
	before := f.state.Next()
	if r.snapshot != nil {
		r.snapshot.handle(ctx, f)
	}
	f.applyAll(r.batch.Records())
	f.noteCaughtUp(r)
	progress := f.state.Next() > before || f.Ready()
	if progress && len(f.reads) == 0 {
		f.startRead(ctx)
	}
}

// noteCaughtUp notes whether the read shows that the state holds every record.
// A read with a snapshot does not show it, since its batch may not follow the snapshot.
// It logs LogBehind if the read started after the head of the log.
func (f *Follower) noteCaughtUp(r readResult) {
	head := r.batch.Head()
	switch {
	case r.snapshot != nil:
	case r.from > head:
		f.logger.Log(logger.LogBehind, logger.Int("next", int64(r.from)), logger.Int("head", int64(head)))
	case f.state.Next() >= head:
		f.freshness.CaughtUp(r.sent)
	}
}

// setAvailable stores whether the log is available, and logs a change.
func (f *Follower) setAvailable(err error) {
	if (err == nil) == f.available {
		return
	}
	f.available = err == nil
	var missing *snapshotter.MissingError
	switch {
	case errors.As(err, &missing):
		f.logger.Log(logger.SnapshotMissing, logger.Failure(err))
	case err != nil:
		f.logger.Log(logger.LogUnavailable, logger.Failure(err))
	default:
		f.logger.Log(logger.LogAvailable)
	}
}
