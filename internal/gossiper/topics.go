package gossiper

import (
	"math"
	"slices"

	"github.com/lagoonkeel/lagoonkeel/internal/hasher"
	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
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
	if g.rounds < warmUpRounds && len(g.peers.byAddress) > 0 {
		return math.MaxInt
	}
	n := 0
	for _, p := range g.peers.byAddress {
		if p.isHeard(now) && !p.left && !p.storeLost[uint32(i)] && hasher.Sum(topic, p.address) < own { //nolint:gosec // There are only a few topics.
			n++
		}
	}

	return n
}

// index returns the number of the topic, or -1.
func (g *Gossiper) index(topic string) int {
	return slices.IndexFunc(g.readers, func(r reader) bool { return r.Topic() == topic })
}

// Forward relays records of a topic to the given partition of the VMs, in as many
// reports as are needed. Where a record does not fit a packet, the VMs get only the
// position of this one, and read the records from the store themselves.
func (g *Gossiper) Forward(topic string, partition subscriber.Partition, from, to subscriber.Offset, records []subscriber.Record) {
	i := g.index(topic)
	if i < 0 {
		return
	}
	positions := g.positions()
	relays := splitRelays(uint32(i), from, to, records) //nolint:gosec // There are only a few topics.
	g.mu.Lock()
	recentPeers := slices.DeleteFunc(g.recentPeers(g.spec.Clock.Now()), func(a string) bool { return !partition.Contains(hasher.Sum(a)) })
	reports := make([]*Report, max(1, len(relays)))
	for k := range reports {
		reports[k] = g.newReport()
	}
	for k, y := range relays {
		reports[k].relay = y
	}
	reports[len(reports)-1].positions = positions
	g.mu.Unlock()
	for _, r := range reports {
		g.send(r, recentPeers)
	}
}

// splitRelays divides records into relays that fit one packet each. It returns nil
// where a record does not fit.
func splitRelays(topic uint32, from, to subscriber.Offset, records []subscriber.Record) []*Relay {
	var relays []*Relay
	begin, size := 0, 0
	for i, x := range records {
		n := len(x.Key()) + len(x.Value())
		if n > maxRelay {
			return nil
		}
		if size+n > maxRelay {
			relays = append(relays, NewRelay(topic, from, x.Offset(), records[begin:i]))
			from, begin, size = x.Offset(), i, 0
		}
		size += n
	}

	return append(relays, NewRelay(topic, from, to, records[begin:]))
}

// positions returns the positions of this VM; it takes the locks of the readers.
func (g *Gossiper) positions() []Position {
	list := make([]Position, len(g.readers))
	for i, r := range g.readers {
		silence := r.Silence()
		list[i] = NewPosition(uint32(i), uint32(r.Position()), r.Lost(), silence > 0 && silence <= answeredTime) //nolint:gosec // A topic gets far fewer records in a day.
	}

	return list
}
