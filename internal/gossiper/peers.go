package gossiper

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// silenceSlack is the time, beyond that of two rounds, without a report after which
	// a VM no longer counts as heard.
	silenceSlack = 600 * time.Millisecond
	// vmsPerTick is the number of VMs for each tick of a round. A VM thus gets about as
	// many regular reports in a second however large the fleet is.
	vmsPerTick = 75
	// maxRoundTicks bounds the length of a round, since limits are shared less evenly
	// in long rounds. In a fleet of more than maxRoundTicks x vmsPerTick VMs the number
	// of reports grows with the fleet.
	maxRoundTicks = 8
	// maxFirstSequence is the greatest sequence number of the first report that
	// arrives from a VM which counts as heard since its start; earlier ones may be
	// lost.
	maxFirstSequence = 8
	// goneTimeout is the time without a report after which a VM counts as gone, as
	// long as most others are heard.
	goneTimeout = 12 * time.Second
)

// roundTicks returns the number of ticks of a round in a fleet of the given number of VMs.
func roundTicks(vms int) int {
	return min(max(1, (vms+vmsPerTick-1)/vmsPerTick), maxRoundTicks)
}

// silenceTimeout returns the time without a report after which a VM no longer counts as
// heard, in a fleet of the given number of VMs.
func silenceTimeout(vms int) time.Duration {
	return time.Duration(2*roundTicks(vms))*tickInterval + silenceSlack
}

// peer is another VM.
type peer struct {
	address string
	// dataCentre is "" where it is not known.
	dataCentre string
	// lastHeard is when its last report arrived; 0 before the first one.
	lastHeard timer.Instant
	// added is when this VM learned its address.
	added timer.Instant
	// startID identifies its present run, and sequence is the highest sequence number
	// of that run's reports.
	startID  uint32
	sequence uint32
	// latest is set while the report that was accepted last is the newest one so far.
	latest bool
	// counts are the last ones of the peer's present run.
	counts map[tallier.Account]tallier.Count
	// countsComplete is set where the peer was heard from the beginning of its
	// present run: its first count of an account is then recent use.
	countsComplete bool
	loads          []Load
	left           bool
	// loggedAsHeard is set while the last log line about the VM says that it is
	// heard.
	loggedAsHeard bool
	// storeLost holds, by number, the topics for which the store does not answer it.
	storeLost map[uint32]bool
}

// peerTable holds the other VMs. The gossiper's lock guards it.
type peerTable struct {
	// byAddress never loses an entry.
	byAddress map[string]*peer
	// silence is the time without a report after which a VM no longer counts as heard.
	silence time.Duration
}

func newPeerTable() *peerTable {
	return &peerTable{
		byAddress: map[string]*peer{},
		silence:   silenceTimeout(1),
	}
}

// add returns the peer of the address and adds it where it is new.
func (t *peerTable) add(now timer.Instant, address string) *peer {
	p, ok := t.byAddress[address]
	if !ok {
		p = &peer{
			address:   address,
			added:     now,
			counts:    map[tallier.Account]tallier.Count{},
			storeLost: map[uint32]bool{},
		}
		t.byAddress[address] = p
	}

	return p
}

// accept updates the peer from the header of a report and reports whether the
// report is to be applied. Not accepted are a second copy of the report with the
// highest sequence number, and late reports of an earlier run that it detects.
// Reports of the present run that arrive out of order are accepted. A report with
// another start ID begins a new run, unless its start ID is lower and its sequence
// number higher than those of the present run. A lower start ID alone does not show
// that a report is late, because start IDs wrap around.
func (p *peer) accept(now timer.Instant, r *Report) bool {
	p.latest = false
	if r.startID != p.startID {
		if p.startID != 0 && r.sequence > p.sequence && r.startID < p.startID {
			return false // A late report of an earlier run.
		}
		p.countsComplete = r.sequence <= maxFirstSequence
		p.startID = r.startID
		p.sequence = 0
		p.counts = map[tallier.Account]tallier.Count{}
	}
	if r.sequence == p.sequence {
		return false
	}
	p.latest = r.sequence > p.sequence
	p.sequence = max(p.sequence, r.sequence)
	p.lastHeard = now
	p.left = r.leaving

	return true
}

// delta stores a count of the report that was accepted last and returns what the peer
// requested and used since the last one. A lower count in the newest report is one of an
// account that the peer dropped as idle and counts anew.
func (p *peer) delta(c tallier.Count) (requested, used uint32) {
	last, known := p.counts[c.Account()]
	lower := c.Requested() < last.Requested() || c.Used() < last.Used()
	if lower && !p.latest {
		return 0, 0 // A newer report arrived before this one.
	}
	p.counts[c.Account()] = c
	if !known && !p.countsComplete {
		return 0, 0 // Most of it was used before this VM heard of the peer.
	}
	if lower {
		return c.Requested(), c.Used()
	}

	return c.Requested() - last.Requested(), c.Used() - last.Used()
}

// isHeard reports whether the peer's reports arrive.
func (t *peerTable) isHeard(now timer.Instant, p *peer) bool {
	return p.lastHeard != 0 && now.Sub(p.lastHeard) <= t.silence
}

// heardChanges returns the addresses of VMs that are newly heard and of those that
// are no longer heard, both since the last call.
func (t *peerTable) heardChanges(now timer.Instant) (heard, lost []string) {
	for _, p := range t.byAddress {
		isHeard := t.isHeard(now, p) && !p.left
		switch {
		case isHeard && !p.loggedAsHeard:
			heard = append(heard, p.address)
		case !isHeard && p.loggedAsHeard:
			lost = append(lost, p.address)
		}
		p.loggedAsHeard = isHeard
	}

	return heard, lost
}

// vmCounts holds how many VMs, this one included, are heard and known.
type vmCounts struct {
	// heard is between 1 and known.
	heard int
	// known includes the VMs that are heard, and those that are silent but not gone.
	known int
}

// countVMs counts the VMs, this one included, that are heard and that are known.
// VMs that are gone or left count as known only while this VM does not hear most
// of the others, because it may then be the one that is cut off.
func (t *peerTable) countVMs(now timer.Instant) vmCounts {
	heard, known, absent := 1, 1, 0
	for _, p := range t.byAddress {
		switch {
		case t.isHeard(now, p) && !p.left:
			heard++
			known++
		case p.left || now.Sub(max(p.lastHeard, p.added)) > goneTimeout:
			absent++
		default:
			known++
		}
	}
	if 2*heard <= known+absent {
		known += absent
	}

	return vmCounts{
		heard: heard,
		known: known,
	}
}

// openRequests returns the open requests of the VMs that are heard, at each target.
func (t *peerTable) openRequests(now timer.Instant) map[estimator.Key]int {
	open := map[estimator.Key]int{}
	for _, p := range t.byAddress {
		if !t.isHeard(now, p) {
			continue
		}
		for _, l := range p.loads {
			open[l.target] += int(l.openRequests)
		}
	}

	return open
}
