package ejector

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// exchangePeriod is the time between two reports to a peer.
	exchangePeriod = 250 * time.Millisecond
	// sendTimeout bounds one report; a peer that is slower misses some.
	sendTimeout = time.Second
)

type reporter interface {
	Report() *Report
	Receive(now timer.Instant, r *Report)
}

type merger interface {
	// Merge takes in the words of leaving targets that a peer heard.
	Merge(now timer.Instant, heard []Draining)
}

type sender interface {
	Send(ctx context.Context, address string, r *Report) error
}

type members interface {
	View() *member.View
}

// Exchanger is the controller that sends this VM's reports to its peers and
// takes in theirs. Its peers are all members; a subset of them is a matter of
// the members interface alone.
type Exchanger struct {
	reporter reporter
	merger   merger
	sender   sender
	members  members
	timers   ticker
	mu       sync.Mutex
	// busy holds the peers to which a report is under way; guarded by mu.
	busy map[string]bool
	// open counts the reports under way.
	open sync.WaitGroup
}

// NewExchanger returns an exchanger.
func NewExchanger(r reporter, m merger, s sender, v members, t ticker) *Exchanger {
	return &Exchanger{
		reporter: r,
		merger:   m,
		sender:   s,
		members:  v,
		timers:   t,
		busy:     map[string]bool{},
	}
}

// Name returns the controller's name.
func (e *Exchanger) Name() string { return "evidence" }

// Receive takes in the report of a peer.
func (e *Exchanger) Receive(r *Report) {
	now := e.timers.Now()
	e.reporter.Receive(now, r)
	e.merger.Merge(now, r.Draining())
}

// Run sends reports until ctx ends.
func (e *Exchanger) Run(ctx context.Context) error {
	defer e.open.Wait()
	e.timers.Every(exchangePeriod).Each(ctx, func(timer.Instant) { e.round(ctx) })

	return nil
}

// round sends the present report to every peer that is not behind.
func (e *Exchanger) round(ctx context.Context) {
	r := e.reporter.Report()
	for _, p := range e.members.View().Peers() {
		if address := p.Address(); e.claim(address) {
			e.open.Go(func() {
				defer e.release(address)
				e.send(ctx, address, r)
			})
		}
	}
}

func (e *Exchanger) send(ctx context.Context, address string, r *Report) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_ = e.sender.Send(ctx, address, r) // The next report replaces a lost one.
}

func (e *Exchanger) claim(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy[address] {
		return false
	}
	e.busy[address] = true

	return true
}

func (e *Exchanger) release(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.busy, address)
}
