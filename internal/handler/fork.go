package handler

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// placement is where the attempt on a copy of an exchange runs. The goroutine of the copy
// sets it, and that of the original reads it.
type placement struct {
	target atomic.Pointer[placedTarget]
}

// placedTarget is the chosen target with what was known of it.
type placedTarget struct {
	target *manifester.Target
	risk   float64
	trial  bool
}

func (p *placement) set(x *Exchange) {
	p.target.Store(&placedTarget{
		target: x.target,
		risk:   x.risk,
		trial:  x.trial,
	})
}

// Fork is a copy of an exchange on which one attempt runs in a goroutine of its own, beside
// that on another copy. Until the attempt has ended, the copy belongs to that goroutine;
// the other methods may be called at any time.
type Fork struct {
	copied    *Exchange
	placement *placement
	// tried and history are the numbers of entries that the original had.
	tried   int
	history int
	hedge   bool
}

// Fork returns a copy of the exchange, which holds no memory and shares nothing that a
// filter changes. The attempt on it does not use the targets of the attempts in flight on
// other copies.
func (x *Exchange) Fork(inFlight ...*Fork) *Fork {
	c := *x
	c.request = x.request.Clone()
	c.heldBytes = 0
	c.tried = slices.Clone(x.tried)
	c.history = slices.Clone(x.history)
	c.hedge = len(inFlight) > 0
	c.placement = &placement{}
	for _, f := range inFlight {
		if t := f.Target(); t != nil {
			c.tried = append(c.tried, t.Name())
		}
	}

	return &Fork{
		copied:    &c,
		placement: c.placement,
		tried:     len(c.tried),
		history:   len(c.history),
		hedge:     c.hedge,
	}
}

// Exchange returns the copy.
func (f *Fork) Exchange() *Exchange { return f.copied }

// Target returns the target of the attempt, or nil if none has been chosen yet.
func (f *Fork) Target() *manifester.Target {
	if p := f.placement.target.Load(); p != nil {
		return p.target
	}

	return nil
}

// AddEnded adds to the exchange the target and the result of the attempt on the copy, which
// has ended, and the memory that the copy holds. It does not change the exchange's response.
func (x *Exchange) AddEnded(f *Fork) {
	x.tried = append(x.tried, f.copied.tried[f.tried:]...)
	x.history = append(x.history, f.copied.history[f.history:]...)
	x.heldBytes += f.copied.heldBytes
	f.copied.heldBytes = 0
}

// AddOvertaken adds to the exchange the target of the attempt on the copy, which was
// aborted with ErrOvertaken after the time and may not have ended yet.
func (x *Exchange) AddOvertaken(f *Fork, after time.Duration) {
	p := f.placement.target.Load()
	if p == nil {
		return
	}
	x.tried = append(x.tried, p.target.Name())
	x.history = append(x.history, AttemptRecord{
		attempt: NewFailedAttempt(p.target, FaultCanceled, NewUnknownOutcome(CodeTimeout, ErrOvertaken.Error())).SetTiming(after, false),
		risk:    p.risk,
		trial:   p.trial,
		hedge:   f.hedge,
	})
}

// Adopt takes the present attempt and the response of the copy, whose attempt has ended.
func (x *Exchange) Adopt(f *Fork) {
	c := f.copied
	x.target = c.target
	x.attempt = c.attempt
	x.response = c.response
	x.risk = c.risk
	x.trial = c.trial
}
