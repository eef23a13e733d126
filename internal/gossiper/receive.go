package gossiper

import (
	"fmt"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/recoverer"
	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// receiveReports handles reports until the socket is closed.
func (g *Gossiper) receiveReports() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := g.spec.Conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // The peer's host refused an earlier datagram.
		}
		g.receive(from.String(), buffer[:n])
	}
}

// receive handles one datagram. A panic costs only this datagram.
func (g *Gossiper) receive(from string, data []byte) {
	err := recoverer.Do(func() error {
		r, err := g.spec.Codec.Decode(data)
		if err != nil {
			return errors.Wrap(err, "decoding a report")
		}
		if r.origin != "" {
			if !g.isPeerAddress(r.origin) {
				return &originError{
					origin: r.origin,
				}
			}
			from = r.origin
		}
		g.handleReport(from, r)

		return nil
	})
	if err != nil {
		g.skip(from, err)
	}
}

// originError reports a report that was passed on for something that is no other VM.
type originError struct {
	origin string
}

// Error implements error.
func (e *originError) Error() string {
	return fmt.Sprintf("the report was passed on for %q, which is not the address of another VM", e.origin)
}

// isPeerAddress reports whether the text can be the address of another VM.
func (g *Gossiper) isPeerAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)

	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && text != g.spec.Self
}

// skip counts a datagram that was not applied, and logs it unless another was logged a
// moment ago.
func (g *Gossiper) skip(from string, err error) {
	g.skipped.Inc(1)
	now := g.spec.Clock.Now()
	if g.lastSkipLogged != 0 && now.Sub(g.lastSkipLogged) < skipLogInterval {
		return
	}
	g.lastSkipLogged = now
	event := logger.ReportSkipped
	var p *recoverer.PanicError
	if errors.As(err, &p) {
		event = logger.Panicked
	}
	g.spec.Logger.Log(event, logger.Text("from", from), logger.Int("skipped", g.skipped.Count()), logger.Failure(err))
}

// usageDelta is what another VM requested and used of an account since its
// report before.
type usageDelta struct {
	account   tallier.Account
	requested uint32
	used      uint32
}

// handleReport applies a report, unless peer.accept rejects it as a duplicate or as
// late.
func (g *Gossiper) handleReport(from string, r *Report) {
	now := g.spec.Clock.Now()
	usage, accepted := g.recordReport(now, from, r)
	if !accepted {
		return
	}
	if r.spread {
		g.passOnReport(r, from)
	}
	for _, u := range usage {
		g.spec.Tallier.AddRemote(now, u.account, u.requested, u.used)
	}
	for _, e := range r.evidence {
		g.applyEvidence(now, e)
	}
	for _, m := range r.marks {
		g.spec.Quarantine.Apply(m)
	}
	if r.requestsEstimates {
		g.sendEstimates(now, from)
	}
	g.spec.Estimator.Merge(now, r.estimates)
	g.handleQuarantine(now, from, r)
	g.updateReaders(r)
}

// applyEvidence passes an attempt of another VM to the parts that it is evidence for.
func (g *Gossiper) applyEvidence(now timer.Instant, e Evidence) {
	if g.spec.Rejections != nil {
		g.spec.Rejections.Observe(now, e.target, e.outcome)
	}
	switch {
	case e.outcome.Notice():
		g.spec.Notices.ObserveNotice(now, e.target, e.outcome)
	case e.outcome != estimator.OutcomeShed:
		g.spec.Estimator.ObserveRemote(now, e.target, e.outcome)
	}
}

// recordReport updates the peer that sent the report and returns the peer's use
// of limits since its report before. It returns false where the report is a
// duplicate or late; see peer.accept.
func (g *Gossiper) recordReport(now timer.Instant, from string, r *Report) ([]usageDelta, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers.add(now, from)
	if !p.accept(now, r) {
		return nil, false
	}
	usage := make([]usageDelta, 0, len(r.counts))
	for _, c := range r.counts {
		requested, used := p.delta(c)
		usage = append(usage, usageDelta{
			account:   c.Account(),
			requested: requested,
			used:      used,
		})
	}
	if r.regular && p.latest {
		p.loads = r.loads
		open := g.peers.openRequests(now)
		g.openRequests.Store(&open)
	}
	if len(r.estimates) > 0 {
		g.estimateRequestsLeft = 0
	}
	for _, q := range r.positions {
		p.storeLost[q.topic] = q.storeLost
	}

	return usage, true
}

// updateReaders passes the records and the positions of a report to the readers
// of the topics.
func (g *Gossiper) updateReaders(r *Report) {
	if q := r.relay; q != nil {
		g.passOn(relayPart{relay: q}, q.passTo)
		g.applyRelay(q)
	}
	if q := r.piece; q != nil {
		g.passOn(relayPart{piece: q}, q.passTo)
		if whole := g.pieces.add(q); whole != nil {
			g.applyRelay(whole)
		}
	}
	for _, q := range r.positions {
		if int(q.topic) < len(g.readers) {
			if q.answered {
				g.readers[q.topic].NotePeerReached(q.age)
			}
			g.readers[q.topic].NotePeerPosition(q.era, subscriber.Offset(q.next))
		}
	}
}

// applyRelay applies relayed records to their topic.
func (g *Gossiper) applyRelay(r *Relay) {
	if int(r.topic) < len(g.readers) {
		g.readers[r.topic].ApplyForwarded(r.batch)
	}
}
