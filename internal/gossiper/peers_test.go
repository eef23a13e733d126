package gossiper

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const account = tallier.Account(5)

// TestCountDelta compares the usage that a VM derives from the counts of another
// with the golden file. It guards against a fault in rolling restarts: a VM that
// starts while the others run must not take all of their earlier usage for recent
// usage.
func TestCountDelta(t *testing.T) {
	type report struct {
		start, sequence, requested, used uint32
	}
	var out bytes.Buffer
	for _, c := range []struct {
		name    string
		reports []report
	}{
		{"first report heard at the peer's start", []report{{9, 1, 4, 4}, {9, 2, 10, 8}}},
		{"first report heard long after the peer's start", []report{{9, 800, 4000, 3900}, {9, 801, 4006, 3905}}},
		{"one report lost", []report{{9, 1, 4, 4}, {9, 3, 20, 18}}},
		{"reports out of order", []report{{9, 1, 4, 4}, {9, 3, 20, 18}, {9, 2, 10, 9}}},
		{"the same report twice", []report{{9, 1, 4, 4}, {9, 1, 4, 4}}},
		{"peer restarted", []report{{9, 800, 4000, 3900}, {12, 1, 3, 3}, {12, 2, 5, 5}}},
		{"the peer dropped the idle account and counts anew", []report{{9, 1, 4, 4}, {9, 2, 40, 38}, {9, 700, 3, 2}, {9, 701, 9, 8}}},
		{"the same, and an earlier report arrives late", []report{{9, 1, 4, 4}, {9, 3, 40, 38}, {9, 700, 3, 2}, {9, 2, 30, 28}, {9, 701, 9, 8}}},
		{"late report of an earlier run", []report{{9, 800, 4000, 3900}, {12, 1, 3, 3}, {9, 801, 4100, 4000}, {12, 2, 5, 5}}},
	} {
		fmt.Fprintf(&out, "%s:", c.name)
		p := newPeerTable().add(0, "a")
		for i, r := range c.reports {
			now := timer.Instant(0).Add(time.Duration(i+1) * time.Second)
			count := tallier.NewCount(account, r.requested, r.used)
			accepted := p.accept(now, NewReport(ReportSpec{
				StartID:  r.start,
				Sequence: r.sequence,
			}))
			if !accepted {
				fmt.Fprintf(&out, " [not accepted]")

				continue
			}
			requested, used := p.delta(count)
			fmt.Fprintf(&out, " requested %d used %d;", requested, used)
		}
		fmt.Fprintln(&out)
	}
	goldie.New(t).Assert(t, "delta", out.Bytes())
}

// TestCountVMs compares the numbers of VMs that are heard and known with the
// golden file, where VMs are silent, left or gone, and where this VM is itself cut
// off.
func TestCountVMs(t *testing.T) {
	const peerCount = 16
	var out bytes.Buffer
	for _, c := range []struct {
		name   string
		silent int
		since  time.Duration
		left   bool
	}{
		{"all heard", 0, 0, false},
		{"three silent for 3 s", 3, 3 * time.Second, false},
		{"three silent for 1 min: gone", 3, time.Minute, false},
		{"three left", 3, 3 * time.Second, true},
		{"all silent for 1 min: this VM is cut off", peerCount, time.Minute, false},
	} {
		now := timer.Instant(0).Add(time.Hour)
		peers := newPeerTable()
		for i := range peerCount {
			p := peers.add(now.Add(-time.Hour), fmt.Sprint(i))
			p.lastHeard = now
			if i < c.silent {
				p.lastHeard = now.Add(-c.since)
				p.left = c.left
			}
		}
		n := peers.countVMs(now)
		fmt.Fprintf(&out, "%s: heard %d, known %d\n", c.name, n.heard, n.known)
	}
	goldie.New(t).Assert(t, "vmcounts", out.Bytes())
}
