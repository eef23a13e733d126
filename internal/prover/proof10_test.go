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

// balancer sends requests to ready VMs in turn, as the platform's does: it
// looks at readiness a few times a second and keeps connections open.
type balancer struct {
	client *http.Client
	mu     sync.Mutex
	ready  []*vm
	turn   int
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
	b.turn++

	return b.ready[b.turn%len(b.ready)]
}

// tally counts answers by what they say.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (l *tally) add(s string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[s]++
}

func (l *tally) others(than string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out strings.Builder
	for s, n := range l.counts {
		if s != than {
			fmt.Fprintf(&out, "%d x %s\n", n, s)
		}
	}

	return out.String()
}

// TestProof10PlannedStop stops every VM in turn under load. No request is cut
// or refused, and every process ends with exit code 0.
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
	f.ready()
	for _, u := range append(f.targets["bookings"], f.targets["fieldbook"]...) {
		u.faults(t, standin.UpstreamFaults{WorkMs: 40})
	}
	b := &balancer{
		client: newClient(t),
		ready:  append([]*vm(nil), f.vms...),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { b.watch(ctx, f) })
	sums := &tally{
		counts: map[string]int{},
	}
	for w := range workers {
		all.Go(func() { b.load(ctx, w, sums) })
	}
	var out strings.Builder
	for _, v := range f.vms {
		time.Sleep(500 * time.Millisecond)
		v.terminate()
		fmt.Fprintf(&out, "%s stopped with exit code %d\n", v.id, v.exitCode())
		v.start()
		waitFor(t, v.id+" is ready again", v.isReady)
		time.Sleep(300 * time.Millisecond) // The balancer notices.
	}
	cancel()
	all.Wait()
	const served = "200 answered by the upstream"
	if sums.counts[served] < 100 {
		t.Errorf("only %d requests were answered", sums.counts[served])
	}
	fmt.Fprintf(&out, "answers that are no success:\n%s", sums.others(served))
	goldie.New(t).Assert(t, "proof10", []byte(out.String()))
}

func (b *balancer) load(ctx context.Context, worker int, sums *tally) {
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
		a := send(b.client, v.callers, r)
		if a.err != nil {
			sums.add("cut: " + r.method + " " + r.path)
		} else if a.fields.Get("Test-Token") != r.token && a.status == http.StatusOK {
			sums.add("crossed")
		} else {
			sums.add(a.String())
		}
		time.Sleep(10 * time.Millisecond)
	}
}
