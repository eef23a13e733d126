package prover

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
)

// holdingPeriod is the pause between two readings of one VM.
const holdingPeriod = 10 * time.Millisecond

// holdingReading is one reading of the number of ranges that a VM holds.
type holdingReading struct {
	// sent and received bound the instant at which the VM counted its ranges, in time
	// since the start of the watch.
	sent     time.Duration
	received time.Duration
	// answered is false if the VM did not answer; nothing is known of it then.
	answered bool
	status   rangeStatus
}

// holdingHistory has the readings of one VM in order; none overlaps the next.
type holdingHistory struct {
	vm       string
	readings []holdingReading
}

// heldThroughout returns the number of ranges that the VM certainly held at every
// instant from one to the other, or 0 if that is not known. It is known if the
// readings that enclose the time, and all between them, agree: within an epoch a VM
// loses ranges only when its lease ends, and gets others only after a takeover wait.
func (h *holdingHistory) heldThroughout(from, to time.Duration) int {
	first := sort.Search(len(h.readings), func(i int) bool { return h.readings[i].received > from }) - 1
	last := sort.Search(len(h.readings), func(i int) bool { return h.readings[i].sent >= to })
	if first < 0 || last == len(h.readings) {
		return 0
	}
	for _, r := range h.readings[first : last+1] {
		if !r.answered || r.status != h.readings[first].status {
			return 0
		}
	}

	return h.readings[first].status.Ranges
}

// sumDuring adds to the ranges of one reading those that the other VMs certainly held
// during all of it. Counts of different instants would not do: their sum exceeds the
// number of ranges also when a range passes from one VM to another between them.
func sumDuring(r holdingReading, of *holdingHistory, histories []*holdingHistory) int {
	sum := r.status.Ranges
	for _, h := range histories {
		if h != of {
			sum += h.heldThroughout(r.sent, r.received)
		}
	}

	return sum
}

// findDoubleHolding describes the first reading at whose instant the VMs held more
// ranges than there are, so that some range had two holders, or returns "". complete is
// the number of readings that account for every range.
func findDoubleHolding(histories []*holdingHistory) (found string, complete int) {
	for _, h := range histories {
		for _, r := range h.readings {
			sum := sumDuring(r, h, histories)
			if sum >= member.RangeCount {
				complete++
			}
			if sum > member.RangeCount && found == "" {
				found = fmt.Sprintf("%v after the start of the watch, %s held %d ranges and all VMs together %d, but there are %d",
					r.received, h.vm, r.status.Ranges, sum, member.RangeCount)
			}
		}
	}

	return found, complete
}

// holdingWatch reads the ranges that each VM holds, all VMs at once.
type holdingWatch struct {
	histories []*holdingHistory
	readers   sync.WaitGroup
	stop      context.CancelFunc
}

// watchHoldings starts a watch of all VMs, which ends with the test at the latest.
func watchHoldings(f *fleet) *holdingWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &holdingWatch{
		stop: cancel,
	}
	start := time.Now()
	for _, v := range f.vms {
		h := &holdingHistory{
			vm: v.id,
		}
		w.histories = append(w.histories, h)
		w.readers.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(holdingPeriod) {
				h.readings = append(h.readings, v.readHolding(start))
			}
		})
	}
	f.t.Cleanup(w.end)

	return w
}

func (v *vm) readHolding(start time.Time) holdingReading {
	r := holdingReading{
		sent: time.Since(start),
	}
	r.answered = getJSON("http://"+v.operatorsAddr+"/status", &r.status) == nil
	r.received = time.Since(start)
	if !r.answered {
		r.status = rangeStatus{}
	}

	return r
}

func (w *holdingWatch) end() {
	w.stop()
	w.readers.Wait()
}

// check ends the watch and fails the test if some range had two holders at one instant,
// or if the readings are too sparse to show it.
func (w *holdingWatch) check(t *testing.T) {
	t.Helper()
	w.end()
	readings := 0
	for _, h := range w.histories {
		readings += len(h.readings)
	}
	found, complete := findDoubleHolding(w.histories)
	t.Logf("%d of %d readings account for every range", complete, readings)
	if found != "" {
		t.Error(found)
	}
	if complete == 0 {
		t.Error("no reading accounts for every range; the watch detects nothing")
	}
}

// TestFindDoubleHolding guards against a check of TestHolderTakeover that adds counts
// of different instants, and against one that overlooks a second holder. The findings
// are in testdata/holding.golden.
func TestFindDoubleHolding(t *testing.T) {
	at := func(sent, received int, epoch uint64, ranges int) holdingReading {
		return holdingReading{
			sent:     time.Duration(sent) * time.Millisecond,
			received: time.Duration(received) * time.Millisecond,
			answered: true,
			status: rangeStatus{
				Epoch:  epoch,
				Ranges: ranges,
			},
		}
	}
	unanswered := func(sent, received int) holdingReading {
		r := at(sent, received, 0, 0)
		r.answered = false

		return r
	}
	steady := func(ranges int) []holdingReading {
		return []holdingReading{at(0, 5, 3, ranges), at(100, 105, 3, ranges), at(200, 205, 3, ranges), at(300, 305, 3, ranges)}
	}
	var out strings.Builder
	for _, c := range []struct {
		name    string
		a, b, c []holdingReading
	}{
		{
			"the ranges of a are taken over between its reading and those of b and c, sum 345",
			[]holdingReading{at(0, 10, 3, 89), unanswered(20, 3020)},
			[]holdingReading{at(0, 10, 3, 83), at(3300, 3310, 3, 128)},
			[]holdingReading{at(0, 10, 3, 84), at(3300, 3310, 3, 128)},
		},
		{
			"the ranges of a are taken over during its reading",
			[]holdingReading{at(20, 3400, 3, 89)},
			[]holdingReading{at(0, 10, 3, 83), at(3300, 3310, 3, 128), at(3500, 3510, 3, 128)},
			[]holdingReading{at(0, 10, 3, 84), at(3300, 3310, 3, 128), at(3500, 3510, 3, 128)},
		},
		{"a acts on an expired lease in one reading", []holdingReading{at(0, 5, 3, 0), at(110, 190, 2, 89), at(200, 205, 3, 0)}, steady(128), steady(128)},
		{"a holds one range of b in one reading", []holdingReading{at(210, 220, 2, 1)}, steady(128), steady(128)},
		{"a and b hold the same ranges for long", steady(89), steady(172), steady(0)},
		{"every range has one holder", steady(89), steady(83), steady(84)},
		{
			"b has equal counts in two epochs, and c does not answer",
			[]holdingReading{at(110, 190, 3, 89)},
			[]holdingReading{at(100, 105, 3, 172), at(200, 205, 4, 172)},
			[]holdingReading{at(0, 5, 3, 84), unanswered(100, 150), at(200, 205, 3, 84)},
		},
	} {
		found, complete := findDoubleHolding([]*holdingHistory{{vm: "a", readings: c.a}, {vm: "b", readings: c.b}, {vm: "c", readings: c.c}})
		if found == "" {
			found = "none"
		}
		fmt.Fprintf(&out, "%s: %s; complete readings: %d\n", c.name, found, complete)
	}
	goldie.New(t).Assert(t, "holding", []byte(out.String()))
}
