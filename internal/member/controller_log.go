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
func (c *Controller) followLog(ctx context.Context) error {
	var next recorder.Offset
	wait := time.Duration(0)
	for ctx.Err() == nil {
		batch, err := c.spec.Log.Read(ctx, recorder.StreamMembers, next, wait)
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
			c.sleep(ctx, retryDelay)

			continue
		}
		for _, e := range r.records {
			next = e.Offset() + 1
		}
		wait = readWait
		select {
		case c.reads <- r:
		case <-ctx.Done():
		}
	}

	return nil
}

func (c *Controller) sleep(ctx context.Context, d time.Duration) {
	c.spec.Timers.After(d).Await(ctx)
}

// handleRead applies the result of a read.
func (c *Controller) handleRead(r logRead) {
	now := c.spec.Timers.Now()
	if r.expired {
		if c.participant.Next() < r.first {
			c.stream = stream{
				hasGap: true,
				gapAt:  now,
			}
		}

		return
	}
	for _, e := range r.records {
		c.apply(e, now)
	}
	c.resolveGap(r, now)
	c.stream.caughtUp = !c.stream.hasGap
}

// resolveGap ends a gap if it can: when another VM has confirmed this VM's
// epoch, when one of the buffered records is known to have been accepted, or, on
// a log that retains no record, by starting a new fleet.
func (c *Controller) resolveGap(r logRead, now timer.Instant) {
	if !c.stream.hasGap {
		return
	}
	buffered := c.stream.buffered
	confirmed := c.participant.Confirmed(c.stream.gapAt)
	empty := r.first == r.head && now.Sub(c.stream.gapAt) > bootstrapAfter && c.participant.Epoch() == 0
	switch {
	case confirmed, c.participant.Recover(buffered, now):
		c.stream = stream{}
		for _, e := range buffered {
			_, _ = c.participant.Apply(e, now) // Errors are not logged: the VMs that read these records earlier have done so.
		}
	case empty:
		c.stream = stream{}
		c.participant.Bootstrap(r.head, now)
	}
}

// apply decodes one record of the log and applies it, or buffers it while there
// is a gap.
func (c *Controller) apply(r recorder.Record, now timer.Instant) {
	record, err := c.spec.Decode(r.Data())
	if err != nil {
		c.participant.Skip(r.Offset())
		c.logSkipped(r.Offset(), err)

		return
	}
	e := NewEntry(r.Offset(), record)
	if c.stream.hasGap {
		c.stream.buffered = append(c.stream.buffered, e)

		return
	}
	if _, err := c.participant.Apply(e, now); err != nil {
		c.logSkipped(r.Offset(), err)
	}
}

func (c *Controller) logSkipped(o recorder.Offset, err error) {
	c.spec.Logger.Log(logger.MemberRecordSkipped, logger.Int("offset", int64(o)), logger.Failure(err))
}

// propose appends the record that the participant proposes, if any. Only one
// append is in progress at a time.
func (c *Controller) propose(ctx context.Context) {
	now := c.spec.Timers.Now()
	if c.appending || !c.stream.caughtUp {
		return
	}
	record := c.participant.Propose(c.listHistory, now)
	if record == nil {
		return
	}
	data, err := c.spec.Encode(record)
	if err != nil {
		c.spec.Logger.Log(logger.ProposalFailed, logger.Failure(err))
		c.participant.ProposalSent(now)

		return
	}
	c.appending = true
	go func() {
		_, err := c.spec.Log.Append(ctx, recorder.StreamMembers, data)
		c.appended <- err
	}()
}

// finishAppend handles the result of an append. If the append succeeded although
// it reported an error, the record is read back like any other; a second record
// with the same base is skipped, so a repeated append has no effect.
func (c *Controller) finishAppend(err error) {
	c.appending = false
	c.participant.ProposalSent(c.spec.Timers.Now())
	if err != nil {
		c.spec.Logger.Log(logger.ProposalFailed, logger.Failure(err))
	}
}

// untilProposal returns the time until the participant may propose again, at
// most one ping period.
func (c *Controller) untilProposal() time.Duration {
	d := c.participant.pacer.notBefore.Sub(c.spec.Timers.Now())
	if d <= 0 {
		return pingPeriod
	}

	return min(d, pingPeriod)
}
