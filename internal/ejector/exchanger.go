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
	// sendTimeout bounds the sending of one report. A peer gets no further report
	// while one is in flight, so a slow peer misses some.
	sendTimeout = time.Second
)

type reporter interface {
	Report() *Report
	Receive(now timer.Instant, r *Report)
}

type merger interface {
	// Merge adds the draining signals that a peer received.
	Merge(now timer.Instant, received []Draining)
}

type sender interface {
	Send(ctx context.Context, address string, r *Report) error
}

type members interface {
	View() *member.View
}

// Exchanger is the controller that sends this VM's reports to its peers and
// receives theirs. Its peers are the VMs that members returns, at present all known
// ones.
type Exchanger struct {
	reporter reporter
	merger   merger
	sender   sender
	members  members
	clock    ticker
	mu       sync.Mutex
	// inFlight holds the addresses of peers to which a report is being sent;
	// guarded by mu.
	inFlight map[string]bool
	// sends counts the reports that are being sent.
	sends sync.WaitGroup
}

// NewExchanger returns an exchanger.
func NewExchanger(r reporter, m merger, s sender, v members, t ticker) *Exchanger {
	return &Exchanger{
		reporter: r,
		merger:   m,
		sender:   s,
		members:  v,
		clock:    t,
		inFlight: map[string]bool{},
	}
}

// Name returns the controller's name.
func (e *Exchanger) Name() string { return "evidence" }

// Receive passes a peer's report to the reporter, and the draining signals in it to
// the merger.
func (e *Exchanger) Receive(r *Report) {
	now := e.clock.Now()
	e.reporter.Receive(now, r)
	e.merger.Merge(now, r.Draining())
}

// Run sends reports until ctx ends.
func (e *Exchanger) Run(ctx context.Context) error {
	defer e.sends.Wait()
	e.clock.Every(exchangePeriod).Each(ctx, func(timer.Instant) { e.sendAll(ctx) })

	return nil
}

// sendAll sends the present report to every peer to which none is in flight.
func (e *Exchanger) sendAll(ctx context.Context) {
	r := e.reporter.Report()
	for _, p := range e.members.View().Peers() {
		if address := p.Address(); e.tryAcquire(address) {
			e.sends.Go(func() {
				defer e.release(address)
				e.send(ctx, address, r)
			})
		}
	}
}

func (e *Exchanger) send(ctx context.Context, address string, r *Report) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_ = e.sender.Send(ctx, address, r) // The next report replaces one that is lost.
}

func (e *Exchanger) tryAcquire(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inFlight[address] {
		return false
	}
	e.inFlight[address] = true

	return true
}

func (e *Exchanger) release(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.inFlight, address)
}
