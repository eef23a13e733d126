package gossiper

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/lagoonkeel/lagoonkeel/internal/hasher"
	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// SetReaders sets the readers of the topics whose positions are reported and whose
// records are relayed. Reports name a topic by its index, so every VM must pass the
// same order. It must be called before Run.
func (g *Gossiper) SetReaders(readers ...reader) { g.readers = readers }

// Rank returns how many other VMs come before this one in waiting for changes of
// the topic. It counts only VMs that are heard and whose store answers. A VM that
// has just started comes last where others are known, because it may not have
// heard them yet.
func (g *Gossiper) Rank(topic string) int {
	i := g.index(topic)
	now := g.spec.Clock.Now()
	own := hasher.Sum(topic, g.spec.Self)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ticks < warmUpTicks && len(g.peers.byAddress) > 0 {
		return math.MaxInt
	}
	n := 0
	for _, p := range g.peers.byAddress {
		if g.peers.isHeard(now, p) && !p.left && !p.storeLost[uint32(i)] && hasher.Sum(topic, p.address) < own { //nolint:gosec // There are only a few topics.
			n++
		}
	}

	return n
}

// index returns the number of the topic, or -1.
func (g *Gossiper) index(topic string) int {
	return slices.IndexFunc(g.readers, func(r reader) bool { return r.Topic() == topic })
}

// Forward relays a batch of a topic to the given partition of the VMs, in as many
// reports as are needed. In a large fleet, some of these VMs pass the records on to others
// in their data centre. Where a record is too long, the VMs get only the position of this
// one, and read the records from the store themselves.
func (g *Gossiper) Forward(topic string, partition subscriber.Partition, b subscriber.Batch) {
	i := g.index(topic)
	if i < 0 {
		return
	}
	positions := g.positions()
	number := uint32(i) //nolint:gosec // There are only a few topics.
	parts := g.splitRelays(number, b)
	now := g.spec.Clock.Now()
	var groups [][]string
	g.mu.Lock()
	for _, p := range g.coveredPartitions(now, number, partition) {
		groups = append(groups, g.relayGroups(now, p)...)
	}
	g.mu.Unlock()
	var direct []string
	for _, group := range groups {
		if len(group) == 1 || len(parts) == 0 {
			direct = append(direct, group...)
		} else {
			g.sendRelays(parts, positions, group[1:], group[:1])
		}
	}
	g.sendRelays(parts, positions, nil, direct)
}

// coveredPartitions returns the partitions that this VM sends to, given its own. Where the
// store answers fewer VMs than there are partitions, the one with the first partition also
// covers those that have no VM: the VMs in them may have no other way to learn of a change.
// The lock must be held.
func (g *Gossiper) coveredPartitions(now timer.Instant, topic uint32, own subscriber.Partition) []subscriber.Partition {
	list := []subscriber.Partition{own}
	if own.Number() > 0 {
		return list
	}
	answered := 1 // This VM.
	for _, p := range g.peers.byAddress {
		if g.peers.isHeard(now, p) && !p.left && !p.storeLost[topic] {
			answered++
		}
	}
	for number := answered; number < own.Count(); number++ {
		list = append(list, subscriber.NewPartition(number, own.Count()))
	}

	return list
}

// relayPart is what one report relays: either whole records or a piece of one.
type relayPart struct {
	relay *Relay
	piece *Piece
}

// addTo adds the part to a report, whose receiver passes it on to the VMs in passTo.
func (p relayPart) addTo(r *Report, passTo []string) {
	if p.relay != nil {
		r.relay = p.relay.passedOnTo(passTo)
	}
	if p.piece != nil {
		r.piece = p.piece.passedOnTo(passTo)
	}
}

// sendRelays sends the parts, and the positions with the last of them, to VMs, which
// pass the parts on to those in passTo.
func (g *Gossiper) sendRelays(parts []relayPart, positions []Position, passTo, to []string) {
	if len(to) == 0 {
		return
	}
	reports := make([]*Report, max(1, len(parts)))
	g.mu.Lock()
	for k := range reports {
		reports[k] = g.newReport()
	}
	g.mu.Unlock()
	for k, p := range parts {
		p.addTo(reports[k], passTo)
	}
	reports[len(reports)-1].positions = positions
	for _, r := range reports {
		g.send(r, to)
	}
}

// relayGroups divides the VMs of the partition that were heard lately into groups in one
// data centre each. The first VM of a group passes records on to the others. The size of a
// group is about the square root of the number of VMs, so that no VM sends to many, and 1
// in a partition of up to maxDirectRelays VMs. The lock must be held.
func (g *Gossiper) relayGroups(now timer.Instant, partition subscriber.Partition) [][]string {
	var members []*peer
	for _, a := range g.recentPeers(now) {
		if partition.Contains(hasher.Sum(a)) {
			members = append(members, g.peers.byAddress[a])
		}
	}
	size := 1
	if len(members) > maxDirectRelays {
		size = int(math.Ceil(math.Sqrt(float64(len(members)))))
	}
	// No VM is the first of a group each time.
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	open := map[string]int{} // The last group of each data centre.
	var groups [][]string
	for _, p := range members {
		i, ok := open[p.dataCentre]
		if !ok || len(groups[i]) >= size {
			i = len(groups)
			groups = append(groups, nil)
			open[p.dataCentre] = i
		}
		groups[i] = append(groups[i], p.address)
	}

	return groups
}

// passOn sends a part on to the VMs that the sender named, as far as they are known.
func (g *Gossiper) passOn(p relayPart, passTo []string) {
	if len(passTo) == 0 {
		return
	}
	g.mu.Lock()
	next := g.newReport()
	p.addTo(next, nil)
	to := slices.DeleteFunc(slices.Clone(passTo), func(a string) bool { return g.peers.byAddress[a] == nil })
	g.mu.Unlock()
	g.send(next, to)
}

// splitRelays divides a batch into parts that fit one packet each. It returns nil where
// the records that do not fit a packet are together too long to be relayed.
func (g *Gossiper) splitRelays(topic uint32, b subscriber.Batch) []relayPart {
	var parts []relayPart
	from, records := b.From(), b.Records()
	begin, size, longBytes := 0, 0, 0
	// closePart ends the part of whole records before the i-th one.
	closePart := func(i int, end subscriber.Offset) {
		if begin < i || end > from {
			parts = append(parts, relayPart{
				relay: NewRelay(topic, subscriber.NewBatch(from, end, records[begin:i]).InEra(b.Era())),
			})
		}
		from, begin, size = end, i, 0
	}
	for i, x := range records {
		n := len(x.Key()) + len(x.Value())
		if n > maxRelay {
			longBytes += n
		}
		if longBytes > g.spec.MaxRelayedRecord { // More at once would overflow the receivers' buffers.
			return nil
		}
		if size+n > maxRelay && i > begin {
			closePart(i, x.Offset())
		}
		if n > maxRelay {
			for _, p := range splitRecord(topic, b.Era(), from, x) {
				parts = append(parts, relayPart{
					piece: p,
				})
			}
			from, begin = x.Offset()+1, i+1

			continue
		}
		size += n
	}
	closePart(len(records), b.To())

	return parts
}

// delayed returns the positions with the offsets as of the last round, so that relayed records
// reach the others first. What the positions say of the store's answers is not delayed.
func (g *Gossiper) delayed(positions []Position) []Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]Position, min(len(positions), len(g.previousPositions)))
	for i := range list {
		list[i] = positions[i].at(g.previousPositions[i])
	}

	return list
}

// isFirst reports whether this VM is the first of those that wait for changes of a topic and the
// store has answered it lately, so that the others rely on its reports.
func (g *Gossiper) isFirst(positions []Position) bool {
	for i, r := range g.readers {
		if positions[i].answered && g.Rank(r.Topic()) == 0 {
			return true
		}
	}

	return false
}

// sendPositions sends the positions between two rounds, if the other VMs rely on them.
func (g *Gossiper) sendPositions(now timer.Instant) {
	positions := g.positions()
	if !g.isFirst(positions) {
		return
	}
	delayed := g.delayed(positions)
	g.mu.Lock()
	r := g.newReport()
	r.positions = delayed
	to := g.recentPeers(now)
	g.mu.Unlock()
	g.spread(r, to)
}

// positions returns the positions of this VM; it takes the locks of the readers.
func (g *Gossiper) positions() []Position {
	list := make([]Position, len(g.readers))
	for i, r := range g.readers {
		era, next := r.Position()
		list[i] = NewPosition(uint32(i), uint32(next), r.Lost(), false).InEra(era) //nolint:gosec // A topic gets far fewer records in a day.
		if silence := r.Silence(); silence > 0 && silence <= answeredTime {
			list[i] = list[i].AnsweredBefore(silence)
		}
	}

	return list
}
