package prover

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

// balancer sends requests to the ready VMs in turn, like the load balancer of the
// platform: it polls readiness about ten times a second and keeps connections open.
type balancer struct {
	client   *http.Client
	mu       sync.Mutex
	ready    []*vm
	requests int
}

func (b *balancer) watch(ctx context.Context, f *fleet) {
	for ctx.Err() == nil {
		var ready []*vm
		for _, v := range f.vms {
			if v.isReady() {
				ready = append(ready, v)
			}
		}
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

func (b *balancer) next() *vm {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++

	return b.ready[b.requests%len(b.ready)]
}

// tally counts answers by their text.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(s string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[s]++
}

func (t *tally) except(text string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out strings.Builder
	for s, n := range t.counts {
		if s != text {
			fmt.Fprintf(&out, "%d x %s\n", n, s)
		}
	}

	return out.String()
}

// TestProof10PlannedStop guards against requests that are lost or refused when a VM
// stops gracefully. Every VM is stopped and restarted in turn under load, and each
// process must exit with code 0.
func TestProof10PlannedStop(t *testing.T) {
	t.Parallel()
	const workers = 8
	f := startFleet(t, fleetSpec{
		vms: 3,
		upstreams: map[string]int{
			"bookings":  3,
			"fieldbook": 3,
		},
	})
	f.mustPublish(bookingManifest(f))
	f.waitReady()
	for _, u := range append(f.targets["bookings"], f.targets["fieldbook"]...) {
		u.setFaults(t, standin.UpstreamFaults{WorkMs: 40})
	}
	b := &balancer{
		client: newClient(t),
		ready:  append([]*vm(nil), f.vms...),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { b.watch(ctx, f) })
	answers := &tally{
		counts: map[string]int{},
	}
	for w := range workers {
		all.Go(func() { b.load(ctx, w, answers) })
	}
	var out strings.Builder
	for _, v := range f.vms {
		time.Sleep(500 * time.Millisecond)
		v.terminate()
		fmt.Fprintf(&out, "%s stopped with exit code %d\n", v.id, v.exitCode())
		v.start()
		waitFor(t, v.id+" is ready again", v.isReady)
		time.Sleep(300 * time.Millisecond) // The balancer sees that the VM is ready.
	}
	cancel()
	all.Wait()
	const served = "200 answered by the upstream"
	if answers.counts[served] < 100 {
		t.Errorf("only %d requests were answered", answers.counts[served])
	}
	fmt.Fprintf(&out, "unsuccessful answers:\n%s", answers.except(served))
	goldie.New(t).Assert(t, "proof10", []byte(out.String()))
}

func (b *balancer) load(ctx context.Context, worker int, answers *tally) {
	for n := 0; ctx.Err() == nil; n++ {
		r := request{
			path:  "/species/amanita",
			key:   guidesKey,
			token: fmt.Sprintf("%d-%d", worker, n),
		}
		if n%2 == 1 {
			r.method = http.MethodPost
			r.path = "/bookings/1"
		}
		v := b.next()
		a := send(b.client, v.callersAddr, r)
		if a.err != nil {
			answers.add("no answer: " + r.method + " " + r.path)
		} else if a.fields.Get("Test-Token") != r.token && a.status == http.StatusOK {
			answers.add("answer to another request")
		} else {
			answers.add(a.String())
		}
		time.Sleep(10 * time.Millisecond)
	}
}
