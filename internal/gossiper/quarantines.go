package gossiper

import (
	"math/rand/v2"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/quarantiner"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// digestTargets is the number of VMs that each tick sends the digest of the quarantine
	// to, while a request is in quarantine.
	digestTargets = 2
	// suspectsRequestInterval is the shortest time between two requests for snapshots, so
	// that VMs which differ for long exchange little.
	suspectsRequestInterval = time.Second
	// snapshotOverhead is the most, in bytes, that the lengths, times and flags of a snapshot
	// or of a crash take.
	snapshotOverhead = 10
)

// sendDigest sends the digest of the quarantine to some VMs, if a request is in quarantine.
// Marks are sent once; a VM that missed some, or has started since, sees that it differs.
func (g *Gossiper) sendDigest(now timer.Instant) {
	d := g.spec.Quarantine.Digest()
	if d == 0 {
		return
	}
	g.mu.Lock()
	r := g.newReport()
	r.digest = d
	to := g.recentPeers(now)
	g.mu.Unlock()
	rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	g.send(r, to[:min(digestTargets, len(to))])
}

// handleQuarantine takes over the snapshots of a report, answers a request for those of this
// VM, and requests those of the sender if the quarantine there differs.
func (g *Gossiper) handleQuarantine(now timer.Instant, from string, r *Report) {
	if unknown := g.spec.Quarantine.Merge(r.suspects); len(unknown) > 0 {
		g.sendSuspects(unknown, from)
	}
	if r.requestsSuspects {
		g.sendSuspects(g.spec.Quarantine.Snapshots(), from)
	}
	if r.digest == 0 || r.digest == g.spec.Quarantine.Digest() {
		return
	}
	if g.lastSuspectsRequest != 0 && now.Sub(g.lastSuspectsRequest) < suspectsRequestInterval {
		return
	}
	g.lastSuspectsRequest = now
	g.requestSuspects([]string{from})
}

// requestSuspects requests the snapshots of the VMs with the addresses.
func (g *Gossiper) requestSuspects(to []string) {
	g.mu.Lock()
	r := g.newReport()
	g.mu.Unlock()
	r.requestsSuspects = true
	g.send(r, to)
}

// sendSuspects sends as many of the snapshots as fit one packet. Which ones are left out
// differs each time; see quarantiner.Snapshots.
func (g *Gossiper) sendSuspects(list []quarantiner.Snapshot, to string) {
	n, size := 0, 0
	for _, s := range list {
		size += snapshotSize(s)
		if n > 0 && size > maxRelay {
			break
		}
		n++
	}
	if n == 0 {
		return
	}
	g.mu.Lock()
	r := g.newReport()
	g.mu.Unlock()
	r.suspects = list[:n]
	g.send(r, []string{to})
}

// snapshotSize returns the most that the snapshot takes in a report, in bytes.
func snapshotSize(s quarantiner.Snapshot) int {
	size := snapshotOverhead + len(s.Fingerprint())
	for _, c := range s.Crashes() {
		size += snapshotOverhead + len(c.Target())
	}

	return size
}
