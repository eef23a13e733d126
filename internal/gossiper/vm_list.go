package gossiper

import (
	"slices"
	"strings"

	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// ListRead reports whether the VM list has been read up to this VM's own entry. All VMs that
// are listed before it are then known, and those listed later will read its entry. It becomes
// false again if the store has lost the entry.
func (g *Gossiper) ListRead() bool { return g.listRead.Load() }

// Unlisted returns the channel of the loads of the VM list that lacked this VM's own entry
// although the store came back from an older copy: the entry may be among what was lost.
func (g *Gossiper) Unlisted() <-chan struct{} { return g.unlisted }

// Replace adds the addresses of all VMs and removes none. It implements the
// subscriber's view, as do the methods after it.
func (g *Gossiper) Replace(now timer.Instant, records []subscriber.Record) bool {
	isOwn := func(r subscriber.Record) bool { return r.Key() == g.spec.Self && !r.Removed() }
	if g.storeReturned.Load() && !slices.ContainsFunc(records, isOwn) {
		g.listRead.Store(false)
		select {
		case g.unlisted <- struct{}{}:
		default:
		}
	}

	return g.Update(now, records)
}

// Update adds addresses of VMs, and then requests risk estimates. It ignores
// removed records, addresses that are not valid and this VM's own address. It always
// returns true.
func (g *Gossiper) Update(now timer.Instant, records []subscriber.Record) bool {
	g.mu.Lock()
	defer g.requestEstimates()
	defer g.mu.Unlock()
	for _, r := range records {
		if r.Key() == g.spec.Self && !r.Removed() {
			g.listRead.Store(true)
		}
		if g.isPeerAddress(r.Key()) && !r.Removed() {
			g.peers.add(now, r.Key()).dataCentre = dataCentreOf(string(r.Value()))
		}
	}

	return true
}

// Announcement returns the value under which a VM lists its address: its id and its data
// centre.
func Announcement(id, dataCentre string) string { return id + " " + dataCentre }

// dataCentreOf returns the data centre in an announcement, or "" where there is none.
func dataCentreOf(announcement string) string {
	i := strings.LastIndexByte(announcement, ' ')
	if i < 0 {
		return ""
	}

	return announcement[i+1:]
}

// StoreReached does nothing.
func (g *Gossiper) StoreReached(timer.Instant) {}

// PeerReached does nothing.
func (g *Gossiper) PeerReached(timer.Instant) {}

// StoreLost does nothing.
func (g *Gossiper) StoreLost(timer.Instant) {}

// StoreReturned lets loads tell from then on whether the list lacks this VM's own entry.
func (g *Gossiper) StoreReturned(_, _ timer.Instant) { g.storeReturned.Store(true) }
