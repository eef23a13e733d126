package placer_test

import (
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/ranker"
)

// one returns a load of requests of one rank.
func one(rate float64) []kind { return []kind{{name: "all", rank: ranker.New(0, 0), rate: rate}} }

// two returns a load of a more important and a less important kind.
func two(first, second, burst float64) []kind {
	return []kind{
		{name: "important", rank: ranker.New(0, 1), rate: first},
		{name: "usual", rank: ranker.New(1, 0), rate: second, burst: burst},
	}
}

// TestFleet compares what becomes of the requests of a simulated fleet with the golden
// files. 41 targets of 6 slots that work for 100 ms serve 2460 requests/s.
func TestFleet(t *testing.T) {
	t.Parallel()
	for file, loads := range map[string][]load{
		// Guards against requests that wait although the service has room.
		"half-used": {
			{name: "138 VMs with 5 requests/s each, half of the slots busy", vms: 138, targets: 41, work: 178 * time.Millisecond, deadline: 4 * time.Second, kinds: one(690)},
			{name: "the same, at 6 of the VMs", vms: 138, hot: 6, targets: 41, work: 178 * time.Millisecond, deadline: 4 * time.Second, kinds: one(690)},
		},
		// Guards against important requests that suffer from a burst of others.
		"burst": {
			{name: "44 VMs, 70% used, 2.5 times the usual requests for 2 s", vms: 44, targets: 41, work: 100 * time.Millisecond, deadline: 2 * time.Second, kinds: two(740, 980, 2.5)},
			{name: "138 VMs, the same", vms: 138, targets: 41, work: 100 * time.Millisecond, deadline: 2 * time.Second, kinds: two(740, 980, 2.5)},
		},
		// Guards against less important requests that get no starts.
		"lower-share": {
			{name: "17 VMs, important requests at 1.5 times the capacity", vms: 17, targets: 41, work: 100 * time.Millisecond, deadline: 2 * time.Second, kinds: two(3700, 500, 0)},
		},
		// Guards against bounds that starve VMs with most of the demand.
		"uneven": {
			{name: "44 VMs, 80% used, all at 5", vms: 44, hot: 5, targets: 41, work: 100 * time.Millisecond, deadline: 2 * time.Second, kinds: one(1968)},
			{name: "44 VMs, the same, reports 2 s late", vms: 44, hot: 5, targets: 41, work: 100 * time.Millisecond, deadline: 2 * time.Second, kinds: one(1968), late: 2 * time.Second},
			{name: "44 VMs, the same, half of the reports lost", vms: 44, hot: 5, targets: 41, work: 100 * time.Millisecond, deadline: 2 * time.Second, kinds: one(1968), lost: 0.5},
			{name: "138 VMs, 80% used, all at 12", vms: 138, hot: 12, targets: 41, work: 100 * time.Millisecond, deadline: 2 * time.Second, kinds: one(1968)},
			{name: "138 VMs, the same, reports 2 s late", vms: 138, hot: 12, targets: 41, work: 100 * time.Millisecond, deadline: 2 * time.Second, kinds: one(1968), late: 2 * time.Second},
			{name: "138 VMs in two parts that do not hear each other, 40% used, at all", vms: 138, sides: 2, targets: 41, work: 100 * time.Millisecond, deadline: 2 * time.Second, kinds: one(984)},
		},
		// Guards against VMs that each use the whole room because they know of no other use.
		"started-at-once": {
			{name: "44 VMs, 60% used, no reports for 2 s", vms: 44, targets: 41, work: 100 * time.Millisecond, deadline: 2 * time.Second, kinds: one(1476), deafFor: 2 * time.Second},
			{name: "44 VMs, twice the capacity, no reports for 2 s", vms: 44, targets: 41, work: 100 * time.Millisecond, deadline: 2 * time.Second, kinds: one(4920), deafFor: 2 * time.Second},
		},
		// Guards against a bound that closes a service whose targets are slow.
		"slow": {
			{name: "17 VMs, all targets suspect, each request takes 2 s of 2.5 s, 60% used", vms: 17, targets: 41, suspect: 1, work: 2 * time.Second, deadline: 2500 * time.Millisecond, kinds: one(74)},
			{name: "17 VMs, 2 of 3 targets suspect, 50% of all slots used", vms: 17, targets: 41, suspect: 0.67, work: 100 * time.Millisecond, deadline: 2 * time.Second, kinds: one(1230)},
		},
		// Guards against places in the queue that are held for callers that left.
		"leaving": {
			{name: "17 VMs, 1.5 times the capacity, half of the callers leave after 50 ms", vms: 17, targets: 41, work: 100 * time.Millisecond, deadline: 2 * time.Second, kinds: one(3690), leaves: 0.5},
		},
	} {
		t.Run(file, func(t *testing.T) {
			t.Parallel()
			texts := make([]string, len(loads))
			t.Run("loads", func(t *testing.T) {
				for i, l := range loads {
					t.Run(l.name, func(t *testing.T) {
						t.Parallel()
						texts[i] = l.name + "\n" + newSimFleet(l).run()
					})
				}
			})
			goldie.New(t).Assert(t, file, []byte(strings.Join(texts, "")))
		})
	}
}
