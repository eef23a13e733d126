package prover

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

const (
	teamRate  = 40.0
	teamBurst = 30.0
	// timingTolerance allows for the delay between the admission of a request and
	// its start at the target, which is what the target records: the transfer to
	// the target and the wait for one of its slots. Where that delay differs by up
	// to this much between two requests, a window of the record can hold the
	// admissions of a window that is longer by as much.
	timingTolerance = 100 * time.Millisecond
	// workersPerVM / workerPause is the request rate at each VM if answers take no
	// time: 533 a second, over ten times the rate of the team.
	workersPerVM = 16
	workerPause  = 30 * time.Millisecond
)

func rateManifest(f *fleet) string {
	return fmt.Sprintf(`{
  "services": [{"name": "fieldbook", "class": "lookup", "floor": 4, "targets": %s}],
  "teams": [{"name": "guides", "rate": %v, "burst": %v, "keys": [%q]}],
  "routes": [{"name": "species", "method": "GET", "prefix": "/species", "service": "fieldbook", "timeoutMs": 2000}]}`,
		f.targetsJSON("fieldbook"), teamRate, teamBurst, digest(guidesKey))
}

// slotState is the state of one slot of a team's rate, as a VM reports it.
type slotState struct {
	Slot   int  `json:"slot"`
	Active bool `json:"active"`
}

// grantedSlots returns the slots of the team's rate that the VM currently grants.
func (v *vm) grantedSlots() []int {
	var all []slotState
	if err := getJSON("http://"+v.operatorsAddr+"/rates?team=guides", &all); err != nil {
		return nil
	}
	var held []int
	for _, s := range all {
		if s.Active {
			held = append(held, s.Slot)
		}
	}

	return held
}

// rateLoad sends requests above the team's rate to each started VM until ctx ends,
// counts the answers, and records the tokens of requests refused as not run.
type rateLoad struct {
	client *http.Client
	mu     sync.Mutex
	counts map[string]int
	notRun []string
	all    sync.WaitGroup
}

func (l *rateLoad) start(ctx context.Context, v *vm) {
	for w := range workersPerVM {
		l.all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				token := v.id + "-" + strconv.Itoa(w) + "-" + strconv.Itoa(n)
				l.record(token, send(l.client, v.callersAddr, request{
					path:  "/species/amanita",
					key:   guidesKey,
					token: token,
				}))
				time.Sleep(workerPause)
			}
		})
	}
}

func (l *rateLoad) record(token string, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[a.String()]++
	if a.outcome == "not-run" {
		l.notRun = append(l.notRun, token)
	}
}

// largestGranter returns the VM that grants the most slots of the team's rate,
// other than those in except.
func (f *fleet) largestGranter(except ...*vm) *vm {
	f.t.Helper()
	var best *vm
	waitFor(f.t, "a VM grants the team's rate", func() bool {
		most := 0
		for _, v := range f.vms {
			if n := len(v.grantedSlots()); n > most && !slices.Contains(except, v) {
				best, most = v, n
			}
		}

		return best != nil
	})

	return best
}

// waitGranted waits until the VMs other than those in except grant all three slots
// of the team's rate.
func (f *fleet) waitGranted(except ...*vm) {
	f.t.Helper()
	waitFor(f.t, "every slot of the team's rate is granted", func() bool {
		n := 0
		for _, v := range f.vms {
			if !slices.Contains(except, v) {
				n += len(v.grantedSlots())
			}
		}

		return n == 3
	})
}

// TestProof05Rates guards against a team that exceeds its rate and burst when the
// holders of its slots change: a holder is frozen past its lease, another is killed
// while the log is down, and a VM is added, under a load of about ten times the rate
// at every VM. No window of the upstreams' record may hold more runs than burst and
// rate allow, and no request that was refused as not run may have run.
func TestProof05Rates(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{
		vms:       4,
		upstreams: map[string]int{"fieldbook": 3},
	})
	f.mustPublish(rateManifest(f))
	f.waitReady()
	f.waitGranted()
	l := &rateLoad{
		client: newClient(t),
		counts: map[string]int{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := time.Now()
	for _, v := range f.vms {
		l.start(ctx, v)
	}
	time.Sleep(3 * time.Second)
	frozen := f.largestGranter()
	frozen.freeze()
	time.Sleep(4 * time.Second)
	f.waitGranted(frozen)
	frozen.resume()
	time.Sleep(2 * time.Second)
	f.setLogFaults(standin.LogFaults{Down: true})
	killed := f.largestGranter(frozen)
	killed.kill()
	f.waitGranted(killed)
	time.Sleep(2 * time.Second)
	f.setLogFaults(standin.LogFaults{})
	added := f.addVM()
	waitFor(t, added.id+" is ready", added.isReady)
	l.start(ctx, added)
	time.Sleep(4 * time.Second)
	cancel()
	l.all.Wait()
	took := time.Since(start)
	runs := f.runs("fieldbook")
	t.Logf("%d runs in %v, answers %v", len(runs), took, l.counts)

	var out strings.Builder
	fmt.Fprintf(&out, "windows above the limit: %s\n", worstWindow(runs))
	fmt.Fprintf(&out, "requests refused as not run that ran: %d\n", countRan(runs, l.notRun))
	fmt.Fprintf(&out, "at least a third of the rate was used: %v\n", float64(len(runs)) > teamRate*took.Seconds()/3)
	fmt.Fprintf(&out, "more requests were refused over the rate than ran: %v\n", l.counts["429 not-run over-rate"] > len(runs))
	goldie.New(t).Assert(t, "proof05", []byte(out.String()))
}

// worstWindow describes the window of the record that exceeds the burst and the rate
// by the most runs, or returns "none".
func worstWindow(runs []standin.Run) string {
	at := make([]time.Duration, len(runs))
	for i, r := range runs {
		at[i] = time.Duration(r.AtMicros) * time.Microsecond
	}
	slices.Sort(at)
	largest, text := 0.0, "none"
	for i := range at {
		for j := i; j < len(at); j++ {
			span := at[j] - at[i]
			excess := float64(j-i+1) - teamBurst - teamRate*(span+timingTolerance).Seconds()
			if excess > largest {
				largest = excess
				text = fmt.Sprintf("%d runs in %v, starting at %v", j-i+1, span, at[i]-at[0])
			}
		}
	}

	return text
}

func countRan(runs []standin.Run, refused []string) int {
	tokens := map[string]bool{}
	for _, r := range runs {
		tokens[r.Token] = true
	}
	n := 0
	for _, token := range refused {
		if tokens[token] {
			n++
		}
	}

	return n
}
