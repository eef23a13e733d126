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
	proofRate  = 40.0
	proofBurst = 30.0
	// timing is the allowance for the upstreams' own clocks: the record tells
	// when a target began a request, which is later than its admission by the
	// time for the way there and for a slot of the target. Where that time
	// differs between two requests by up to this much, a window of the record
	// holds the admissions of one that is longer by as much.
	timing = 100 * time.Millisecond
	// workersPerVM times 1/workerPause is at least ten times the rate.
	workersPerVM = 16
	workerPause  = 30 * time.Millisecond
)

func rateManifest(f *fleet) string {
	return fmt.Sprintf(`{
  "services": [{"name": "fieldbook", "class": "lookup", "floor": 4, "targets": %s}],
  "teams": [{"name": "guides", "rate": %v, "burst": %v, "keys": [%q]}],
  "routes": [{"name": "species", "method": "GET", "prefix": "/species", "service": "fieldbook", "timeoutMs": 2000}]}`,
		f.targetsJSON("fieldbook"), proofRate, proofBurst, digest(guidesKey))
}

// slotState is what a VM tells of a slot of a team.
type slotState struct {
	Slot   int  `json:"slot"`
	Active bool `json:"active"`
}

// holds returns the slots of the team that the VM grants now.
func (v *vm) holds() []int {
	var all []slotState
	if err := getJSON("http://"+v.operators+"/rates?team=guides", &all); err != nil {
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

// overload sends requests to every VM until ctx ends, and notes the tokens of
// those that were refused as not run.
type overload struct {
	client *http.Client
	mu     sync.Mutex
	counts map[string]int
	notRun []string
	all    sync.WaitGroup
}

func (o *overload) start(ctx context.Context, v *vm) {
	for w := range workersPerVM {
		o.all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				token := v.id + "-" + strconv.Itoa(w) + "-" + strconv.Itoa(n)
				o.note(token, send(o.client, v.callers, request{
					path:  "/species/amanita",
					key:   guidesKey,
					token: token,
				}))
				time.Sleep(workerPause)
			}
		})
	}
}

func (o *overload) note(token string, a answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[a.String()]++
	if a.outcome == "not-run" {
		o.notRun = append(o.notRun, token)
	}
}

// busiestGranter returns the running VM that grants the most slots of the team.
func (f *fleet) busiestGranter(not ...*vm) *vm {
	f.t.Helper()
	var best *vm
	waitFor(f.t, "a VM grants the team's rate", func() bool {
		most := 0
		for _, v := range f.vms {
			if n := len(v.holds()); n > most && !slices.Contains(not, v) {
				best, most = v, n
			}
		}

		return best != nil
	})

	return best
}

// granted waits until every slot of the team is granted by one VM.
func (f *fleet) granted(not ...*vm) {
	f.t.Helper()
	waitFor(f.t, "every slot is granted", func() bool {
		n := 0
		for _, v := range f.vms {
			if !slices.Contains(not, v) {
				n += len(v.holds())
			}
		}

		return n == 3
	})
}

// TestProof05Rates loads a team at ten times its rate on every VM, while a
// holder is frozen past its lease, one is killed with the log down, and a VM
// is added. No window of the upstreams' record holds more than the burst and
// the rate allow, and no request that was refused as not run has run.
func TestProof05Rates(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{
		vms:       4,
		upstreams: map[string]int{"fieldbook": 3},
	})
	f.mustPublish(rateManifest(f))
	f.ready()
	f.granted()
	o := &overload{
		client: newClient(t),
		counts: map[string]int{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := time.Now()
	for _, v := range f.vms {
		o.start(ctx, v)
	}
	time.Sleep(3 * time.Second)
	frozen := f.busiestGranter()
	frozen.freeze()
	time.Sleep(4 * time.Second)
	f.granted(frozen)
	frozen.thaw()
	time.Sleep(2 * time.Second)
	f.logFaults(standin.LogFaults{Down: true})
	killed := f.busiestGranter(frozen)
	killed.kill()
	f.granted(killed)
	time.Sleep(2 * time.Second)
	f.logFaults(standin.LogFaults{})
	added := f.addVM()
	waitFor(t, added.id+" is ready", added.isReady)
	o.start(ctx, added)
	time.Sleep(4 * time.Second)
	cancel()
	o.all.Wait()
	took := time.Since(start)
	runs := f.runs("fieldbook")
	t.Logf("%d runs in %v, answers %v", len(runs), took, o.counts)

	var out strings.Builder
	fmt.Fprintf(&out, "overfull windows: %s\n", overfull(runs))
	fmt.Fprintf(&out, "refused as not run, but ran: %d\n", ranAnyway(runs, o.notRun))
	fmt.Fprintf(&out, "at least a third of the rate was used: %v\n", float64(len(runs)) > proofRate*took.Seconds()/3)
	fmt.Fprintf(&out, "requests were refused over the rate: %v\n", o.counts["429 not-run over-rate"] > len(runs))
	goldie.New(t).Assert(t, "proof05", []byte(out.String()))
}

// overfull returns the fullest window of the record that holds more than the
// limits allow.
func overfull(runs []standin.Run) string {
	at := make([]time.Duration, len(runs))
	for i, r := range runs {
		at[i] = time.Duration(r.AtMicros) * time.Microsecond
	}
	slices.Sort(at)
	worst, text := 0.0, "none"
	for i := range at {
		for j := i; j < len(at); j++ {
			span := at[j] - at[i]
			over := float64(j-i+1) - proofBurst - proofRate*(span+timing).Seconds()
			if over > worst {
				worst = over
				text = fmt.Sprintf("%d runs in %v from %v on", j-i+1, span, at[i]-at[0])
			}
		}
	}

	return text
}

func ranAnyway(runs []standin.Run, refused []string) int {
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
