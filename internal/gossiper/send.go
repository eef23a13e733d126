package gossiper

import (
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// requestEstimates requests risk estimates from some VMs, until one has answered or
// maxEstimateRequests requests were sent. With the first request, it requests their suspects too;
// where these are lost, digests make up for them.
func (g *Gossiper) requestEstimates() {
	g.mu.Lock()
	if g.estimateRequestsLeft == 0 || len(g.peers.byAddress) == 0 {
		g.mu.Unlock()

		return
	}
	first := g.estimateRequestsLeft == maxEstimateRequests
	g.estimateRequestsLeft--
	r := g.newReport()
	r.requestsEstimates = true
	to := g.allPeers()
	g.mu.Unlock()
	rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	to = to[:min(estimateSources, len(to))]
	g.send(r, to)
	if first {
		g.requestSuspects(to)
	}
}

// sendEstimates sends the risk estimates of this VM to a new one.
func (g *Gossiper) sendEstimates(now timer.Instant, to string) {
	for list := range slices.Chunk(g.spec.Estimator.Estimates(now), maxEstimates) {
		g.mu.Lock()
		r := g.newReport()
		r.estimates = list
		g.mu.Unlock()
		g.send(r, []string{to})
	}
}

// tick updates the counts of VMs, and runs a round once every roundTicks.
func (g *Gossiper) tick(now timer.Instant) {
	g.requestEstimates()
	g.mu.Lock()
	g.ticks++
	c := g.peers.countVMs(now)
	g.peers.silence = silenceTimeout(c.known)
	newlyHeard, lost := g.peers.heardChanges(now)
	due := g.ticks == 1 || g.ticks%roundTicks(c.known) == 0
	g.mu.Unlock()
	g.vmCounts.Store(&c)
	g.spec.Tallier.SetVMCounts(c.heard, c.known)
	g.logPeerChanges(newlyHeard, lost, c)
	if due {
		g.runRound(now)
	} else {
		g.sendPositions(now)
	}
	g.sendDigest(now)
}

// runRound sends the regular report.
func (g *Gossiper) runRound(now timer.Instant) {
	counts := g.spec.Tallier.StartRound(now)
	open := g.spec.Loads()
	positions := g.positions() // Before the lock, as a reader calls the gossiper under its own lock.
	delayed, first := g.delayed(positions), g.isFirst(positions)
	g.mu.Lock()
	g.rounds++
	g.previousPositions = positions
	r := g.newEvidenceReport()
	r.regular = true
	r.counts = counts
	r.loads = open
	r.positions = delayed
	to := g.recentPeers(now)
	if g.rounds%broadcastRounds == 0 {
		to = g.allPeers()
	}
	idle := !first && len(counts) == 0 && len(open) == 0 && len(r.evidence) == 0 && g.ticks-g.lastSent < heartbeatTicks
	if !idle {
		g.lastSent = g.ticks
	}
	g.mu.Unlock()
	if !idle {
		g.spread(r, to)
	}
}

// logPeerChanges logs the VMs that are newly heard and those that are no longer heard,
// in one line for each kind.
func (g *Gossiper) logPeerChanges(newlyHeard, lost []string, c vmCounts) {
	if len(newlyHeard) > 0 {
		g.spec.Logger.Log(logger.PeerHeard, logger.Text("peers", strings.Join(newlyHeard, ",")),
			logger.Int("heard", int64(c.heard)), logger.Int("known", int64(c.known)))
	}
	if len(lost) > 0 {
		g.spec.Logger.Log(logger.PeerLost, logger.Text("peers", strings.Join(lost, ",")),
			logger.Int("heard", int64(c.heard)), logger.Int("known", int64(c.known)))
	}
}

// newReport returns an empty report with the next sequence number; the lock must
// be held.
func (g *Gossiper) newReport() *Report {
	g.sequence++

	return NewReport(ReportSpec{
		StartID:  g.spec.StartID,
		Sequence: g.sequence,
	})
}

// newEvidenceReport returns a report with the pending evidence; the lock must be
// held.
func (g *Gossiper) newEvidenceReport() *Report {
	r := g.newReport()
	r.evidence = g.pendingEvidence
	g.pendingEvidence = nil

	return r
}

// recentPeers returns the addresses of the VMs that were heard or added within
// goneTimeout and have not left; the lock must be held.
func (g *Gossiper) recentPeers(now timer.Instant) []string {
	to := make([]string, 0, len(g.peers.byAddress))
	for _, p := range g.peers.byAddress {
		if now.Sub(max(p.lastHeard, p.added)) <= goneTimeout && !p.left {
			to = append(to, p.address)
		}
	}

	return to
}

func (g *Gossiper) allPeers() []string {
	to := make([]string, 0, len(g.peers.byAddress))
	for _, p := range g.peers.byAddress {
		to = append(to, p.address)
	}

	return to
}

// spread sends the report to the VMs with the addresses. In a fleet of more than vmsPerTick
// VMs, one VM in each other data centre passes it on to the rest there.
func (g *Gossiper) spread(r *Report, to []string) {
	direct, leads := to, []string(nil)
	if len(to) >= vmsPerTick {
		direct, leads = g.splitByDataCentre(to)
	}
	g.send(r, direct)
	if len(leads) > 0 {
		g.send(r.spreading(), leads)
	}
}

// splitByDataCentre returns the addresses of VMs in the data centre of this VM or in an
// unknown one, and one of each other data centre, which is heard if any is.
func (g *Gossiper) splitByDataCentre(addresses []string) (direct, leads []string) {
	now := g.spec.Clock.Now()
	lead := map[string]string{}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range rand.Perm(len(addresses)) { // No VM passes on every report.
		a := addresses[i]
		p, known := g.peers.byAddress[a]
		if !known || p.dataCentre == "" || p.dataCentre == g.spec.DataCentre {
			direct = append(direct, a)

			continue
		}
		if lead[p.dataCentre] == "" || (g.peers.isHeard(now, p) && !g.peers.isHeard(now, g.peers.byAddress[lead[p.dataCentre]])) {
			lead[p.dataCentre] = a
		}
	}

	return direct, slices.Collect(maps.Values(lead))
}

// passOnReport passes a report of the VM with the address on to the other VMs in the data
// centre of this one.
func (g *Gossiper) passOnReport(r *Report, origin string) {
	var to []string
	g.mu.Lock()
	for _, a := range g.recentPeers(g.spec.Clock.Now()) {
		if a != origin && g.peers.byAddress[a].dataCentre == g.spec.DataCentre {
			to = append(to, a)
		}
	}
	g.mu.Unlock()
	g.send(r.passedOn(origin), to)
}

// send sends the report to each address. It ignores errors: a datagram that cannot
// be sent is like one that is lost in the network.
func (g *Gossiper) send(r *Report, to []string) {
	data := g.spec.Codec.Encode(r)
	for _, a := range to {
		address, err := netip.ParseAddrPort(a)
		if err != nil {
			continue // Not reached: only valid addresses are added.
		}
		_, _ = g.spec.Conn.WriteTo(data, net.UDPAddrFromAddrPort(address))
	}
}
