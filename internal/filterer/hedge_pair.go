package filterer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/recoverer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// attemptPair is a first attempt and the hedge that may follow it.
type attemptPair struct {
	filter *Hedge
	next   handler.Handler
	begun  timer.Instant
	first  *hedgeAttempt
	// hedge is nil until it is sent.
	hedge *hedgeAttempt
	// body is the memory reserved for the body of the request beside that of the listener,
	// which is released when the response has been written: an aborted attempt may use the
	// body for longer. It is 0 until the hedge is sent.
	body int64
}

// hedgeAttempt is one attempt of a pair.
type hedgeAttempt struct {
	fork   *handler.Fork
	begun  timer.Instant
	cancel context.CancelCauseFunc
	// ended receives the error of the attempt. Its buffer of one lets the goroutine end
	// before the error is read.
	ended chan error
	// settled is set by whichever is first: the end of the attempt, or its abort. After an
	// abort, the goroutine of the attempt releases the memory.
	settled atomic.Bool
	// body is the part of the reserved memory that the goroutine releases after an abort; it
	// is set before settled.
	body int64
}

// run makes the first attempt and, if it takes longer than the delay, the hedge.
func (p *attemptPair) run(ctx context.Context, x *handler.Exchange, delay time.Duration) error {
	p.first = p.start(ctx, x.Fork())
	alarm := p.filter.clock.After(delay)
	defer alarm.Stop()
	select {
	case err := <-p.first.ended:
		return p.finishAlone(x, err)
	case <-alarm.Due():
	}
	if !p.startHedge(ctx, x) {
		return p.finishAlone(x, <-p.first.ended)
	}
	select {
	case err := <-p.first.ended:
		return p.finish(x, p.first, p.hedge, err)
	case err := <-p.hedge.ended:
		return p.finish(x, p.hedge, p.first, err)
	}
}

// start begins an attempt on the copy.
func (p *attemptPair) start(ctx context.Context, f *handler.Fork) *hedgeAttempt {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &hedgeAttempt{
		fork:   f,
		begun:  p.filter.clock.Now(),
		cancel: cancel,
		ended:  make(chan error, 1),
	}
	go p.serve(ctx, a)

	return a
}

// serve runs the attempt. A panic fails only the attempt.
func (p *attemptPair) serve(ctx context.Context, a *hedgeAttempt) {
	defer a.cancel(nil)
	err := recoverer.Do(func() error { return p.next.Serve(ctx, a.fork.Exchange()) })
	if a.settled.CompareAndSwap(false, true) {
		a.ended <- err

		return
	}
	p.filter.memory.Release(a.body + a.fork.Exchange().Held())
	p.logPanic(err)
}

// startHedge begins the hedge, unless the policy or the state of the first attempt does
// not allow it.
func (p *attemptPair) startHedge(ctx context.Context, x *handler.Exchange) bool {
	if ctx.Err() != nil || p.first.fork.Target() == nil || p.filter.crashed(x) {
		return false
	}
	body := int64(len(x.Request().Body()))
	if !p.filter.memory.Acquire(0, body) {
		return false
	}
	if !p.filter.policy.Allow(p.filter.clock.Now(), hedgeRequest(x)) {
		p.filter.memory.Release(body)

		return false
	}
	p.body = body
	p.hedge = p.start(ctx, x.Fork(p.first.fork))

	return true
}

// finishAlone passes on the result of the first attempt, which was not hedged.
func (p *attemptPair) finishAlone(x *handler.Exchange, err error) error {
	x.AddEnded(p.first.fork)
	x.Adopt(p.first.fork)
	p.filter.record(x, p.begun, goodResponse(x, err))

	return err
}

// finish passes on the result of the attempt that ended first if it is good. Otherwise it
// waits for the other one, and passes on the result of the hedge if only that is good.
func (p *attemptPair) finish(x *handler.Exchange, ended, other *hedgeAttempt, err error) error {
	if goodResponse(ended.fork.Exchange(), err) {
		p.win(x, ended, other)

		return nil
	}
	otherErr := <-other.ended
	p.filter.memory.Release(p.body)
	x.AddEnded(p.first.fork)
	x.AddEnded(p.hedge.fork)
	if goodResponse(other.fork.Exchange(), otherErr) {
		p.logPanic(err)
		p.adopt(x, other)

		return nil
	}
	x.Adopt(p.first.fork)
	if ended == p.hedge {
		err, otherErr = otherErr, err
	}
	p.logPanic(otherErr)

	return err
}

// win passes on the good response of the winner and aborts the other attempt, without
// waiting for its end.
func (p *attemptPair) win(x *handler.Exchange, winner, loser *hedgeAttempt) {
	loser.body = p.body
	aborted := loser.settled.CompareAndSwap(false, true)
	loser.cancel(handler.ErrOvertaken)
	if !aborted {
		p.logPanic(<-loser.ended)
		p.filter.memory.Release(p.body)
	}
	for _, a := range []*hedgeAttempt{p.first, p.hedge} {
		if a == loser && aborted {
			p.filter.policy.AddCanceled()
			x.AddOvertaken(a.fork, p.filter.clock.Now().Sub(a.begun))
		} else {
			x.AddEnded(a.fork)
		}
	}
	p.adopt(x, winner)
}

// adopt takes the good response of the winner, and records its latency.
func (p *attemptPair) adopt(x *handler.Exchange, winner *hedgeAttempt) {
	x.Adopt(winner.fork)
	if winner == p.hedge {
		p.filter.policy.AddWin()
	}
	p.filter.record(x, p.begun, true)
}

// logPanic logs a panic of an attempt whose result is not passed on.
func (p *attemptPair) logPanic(err error) {
	var panicked *recoverer.PanicError
	if errors.As(err, &panicked) {
		p.filter.log.Log(logger.Panicked, logger.Failure(err))
	}
}
