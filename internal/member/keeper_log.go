package member

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// readWait is how long one read waits for a new record.
	readWait = 2 * time.Second
	// retryDelay is the time between reads while the log is unavailable.
	retryDelay = 250 * time.Millisecond
	// bootstrapAfter is how long a VM waits to hear of an epoch from others
	// before it starts a new fleet on a log that retains no record.
	bootstrapAfter = maxListLag
)

// logRead is the result of one read of the members stream.
type logRead struct {
	records []recorder.Record
	// first and head have the meaning that they have in recorder.Batch.
	first recorder.Offset
	head  recorder.Offset
	// expired is set if the requested records have expired; the oldest that is
	// retained is at first.
	expired bool
}

// stream is the progress of the event loop in the members stream.
type stream struct {
	// caughtUp is set once a read was applied without a gap.
	caughtUp bool
	// hasGap is set while records that this VM needs have expired.
	hasGap bool
	// buffered has the records read since the gap was found, until the gap is
	// resolved.
	buffered []*Entry
	// gapAt is the time at which the gap was found.
	gapAt timer.Instant
}

// followLog reads the members stream and passes the records to the event loop
// until ctx ends.
func (k *Keeper) followLog(ctx context.Context) error {
	var next recorder.Offset
	wait := time.Duration(0)
	for ctx.Err() == nil {
		batch, err := k.spec.Log.Read(ctx, recorder.StreamMembers, next, wait)
		r := logRead{
			records: batch.Records(),
			first:   batch.First(),
			head:    batch.Head(),
		}
		if expired := (*recorder.ExpiredError)(nil); errors.As(err, &expired) {
			r.first = expired.First()
			r.expired = true
			next = r.first
		} else if err != nil {
			k.sleep(ctx, retryDelay)

			continue
		}
		for _, e := range r.records {
			next = e.Offset() + 1
		}
		wait = readWait
		select {
		case k.reads <- r:
		case <-ctx.Done():
		}
	}

	return nil
}

func (k *Keeper) sleep(ctx context.Context, d time.Duration) {
	k.spec.Timers.After(d).Await(ctx)
}

// handleRead applies the result of a read.
func (k *Keeper) handleRead(r logRead) {
	now := k.spec.Timers.Now()
	if r.expired {
		if k.participant.Next() < r.first {
			k.stream = stream{
				hasGap: true,
				gapAt:  now,
			}
		}

		return
	}
	for _, e := range r.records {
		k.apply(e, now)
	}
	k.resolveGap(r, now)
	k.stream.caughtUp = !k.stream.hasGap
}

// resolveGap ends a gap if it can: when another VM has confirmed this VM's
// epoch, when one of the buffered records is known to have been accepted, or, on
// a log that retains no record, by starting a new fleet.
func (k *Keeper) resolveGap(r logRead, now timer.Instant) {
	if !k.stream.hasGap {
		return
	}
	buffered := k.stream.buffered
	confirmed := k.participant.Confirmed(k.stream.gapAt)
	empty := r.first == r.head && now.Sub(k.stream.gapAt) > bootstrapAfter && k.participant.Epoch() == 0
	switch {
	case confirmed, k.participant.Recover(buffered, now):
		k.stream = stream{}
		for _, e := range buffered {
			_, _ = k.participant.Apply(e, now) // Other VMs logged the skipped records.
		}
	case empty:
		k.stream = stream{}
		k.participant.Bootstrap(r.head, now)
	}
}

// apply decodes one record of the log and applies it, or buffers it while there
// is a gap.
func (k *Keeper) apply(r recorder.Record, now timer.Instant) {
	record, err := k.spec.Decode(r.Data())
	if err != nil {
		k.participant.Skip(r.Offset())
		k.logSkipped(r.Offset(), err)

		return
	}
	e := NewEntry(r.Offset(), record)
	if k.stream.hasGap {
		k.stream.buffered = append(k.stream.buffered, e)

		return
	}
	if _, err := k.participant.Apply(e, now); err != nil {
		k.logSkipped(r.Offset(), err)
	}
}

func (k *Keeper) logSkipped(o recorder.Offset, err error) {
	k.spec.Logger.Log(logger.MemberRecordSkipped, logger.Int("offset", int64(o)), logger.Failure(err))
}

// propose appends the record that the participant proposes, if any. Only one
// append is in progress at a time.
func (k *Keeper) propose(ctx context.Context) {
	now := k.spec.Timers.Now()
	if k.appending || !k.stream.caughtUp {
		return
	}
	record := k.participant.Propose(k.listHistory, now)
	if record == nil {
		return
	}
	data, err := k.spec.Encode(record)
	if err != nil {
		k.spec.Logger.Log(logger.ProposalFailed, logger.Failure(err))
		k.participant.ProposalSent(now)

		return
	}
	k.appending = true
	go func() {
		_, err := k.spec.Log.Append(ctx, recorder.StreamMembers, data)
		k.appended <- err
	}()
}

// finishAppend handles the result of an append. If the append succeeded although
// it reported an error, the record is read back like any other; a second record
// with the same base is skipped, so a repeated append has no effect.
func (k *Keeper) finishAppend(err error) {
	k.appending = false
	k.participant.ProposalSent(k.spec.Timers.Now())
	if err != nil {
		k.spec.Logger.Log(logger.ProposalFailed, logger.Failure(err))
	}
}

// untilProposal returns the time until the participant may propose again, at
// most one ping period.
func (k *Keeper) untilProposal() time.Duration {
	d := k.participant.pacer.notBefore.Sub(k.spec.Timers.Now())
	if d <= 0 {
		return pingPeriod
	}

	return min(d, pingPeriod)
}
