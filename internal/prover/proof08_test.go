package prover

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

// TestProof08AtMostOnce guards against bookings that run more than once. Callers
// repeat bookings at several VMs while VMs and targets are killed, and while the log
// loses replies or is down. The output of the targets shows how often each booking
// ran.
func TestProof08AtMostOnce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{
		vms: 4,
		upstreams: map[string]int{
			"bookings":  4,
			"fieldbook": 1,
		},
	})
	f.mustPublish(highRateManifest(f))
	f.waitReady()
	f.waitKeyedBookings()
	for _, u := range f.targets["bookings"] {
		u.setFaults(t, standin.UpstreamFaults{SlowShare: 0.2, SlowMs: 150, ResetShare: 0.1, CutShare: 0.05})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var injector sync.WaitGroup
	injector.Go(func() { f.injectFaults(ctx) })
	c := newClient(t)
	c.Timeout = 6 * time.Second
	var mu sync.Mutex
	answers := map[string]int{}
	end := time.Now().Add(20 * time.Second)
	var wg sync.WaitGroup
	for w := range 12 {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				last := f.bookOnce(c, w, n)
				mu.Lock()
				answers[last]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	cancel()
	injector.Wait()
	largest, tokens := maxRuns(t, f.printedRuns("bookings"))
	t.Logf("%d bookings ran; last answers to the callers: %v", tokens, answers)
	var out bytes.Buffer
	fmt.Fprintf(&out, "bookings ran: %v\n", tokens > 0)
	fmt.Fprintf(&out, "most runs of one booking: %d\n", largest)
	goldie.New(t).Assert(t, "proof08", out.Bytes())
}

// bookOnce makes one booking and returns the last answer. Two thirds of the bookings
// carry an idempotency key and are sent up to five times, each time to the next VM and
// the second time to two VMs at once, until an upstream answers. The others are sent
// once.
func (f *fleet) bookOnce(c *http.Client, worker, n int) string {
	token := fmt.Sprintf("eight-%d-%d", worker, n)
	r := request{method: http.MethodPost, path: "/bookings/" + token, key: guidesKey, token: token}
	if n%3 == 0 {
		return "without key: " + send(c, f.vms[n%len(f.vms)].callersAddr, r).String()
	}
	r.fields = []string{"Idempotency-Key", token, "Lagoonkeel-Timeout-Ms", "2000"}
	last := ""
	for try := range 5 {
		if try == 1 {
			var wg sync.WaitGroup
			wg.Go(func() { send(c, f.vms[(worker+n+2)%len(f.vms)].callersAddr, r) })
			defer wg.Wait()
		}
		a := send(c, f.vms[(worker+n+try)%len(f.vms)].callersAddr, r)
		last = a.String()
		if a.err == nil && a.outcome == "" {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}

	return "with key: " + last
}

// injectFaults kills VMs and targets in turn, and makes the log lose replies or go
// down, until ctx ends.
func (f *fleet) injectFaults(ctx context.Context) {
	pause := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-ctx.Done():
			return false
		}
	}
	for n := 0; pause(300 * time.Millisecond); n++ {
		f.setLogFaults(standin.LogFaults{LoseAnswers: 3})
		v := f.vms[n%len(f.vms)]
		v.kill()
		up := f.targets["bookings"][n%4]
		up.kill()
		pause(400 * time.Millisecond)
		up.start()
		v.start()
		pause(2 * time.Second)
		f.setLogFaults(standin.LogFaults{Down: true})
		pause(time.Second)
		w := f.vms[(n+1)%len(f.vms)]
		w.kill()
		pause(time.Second)
		f.setLogFaults(standin.LogFaults{})
		w.start()
		pause(1500 * time.Millisecond)
	}
}

// crashNoticeTime is how long after a crash the test may take to notice that the process
// has ended: the process refuses connections before the system has cleaned it up.
const crashNoticeTime = 500 * time.Millisecond

// crashed returns how many targets of the service have ended.
func (f *fleet) crashed(service string) int {
	n := 0
	for _, u := range f.targets[service] {
		select {
		case <-u.done():
			n++
		default:
		}
	}

	return n
}

// TestProof08CrashingRequest guards against a request that crashes each target that
// runs it and takes down one target after the other as callers repeat it. At most two
// targets of a service may crash before the fleet quarantines the request.
func TestProof08CrashingRequest(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{
		vms: 3,
		upstreams: map[string]int{
			"bookings":  5,
			"fieldbook": 5,
		},
	})
	f.mustPublish(highRateManifest(f))
	f.waitReady()
	f.waitKeyedBookings()
	c := newClient(t)
	var out bytes.Buffer
	for _, s := range []struct{ service, method, path string }{
		{"bookings", http.MethodPost, "/bookings/poison"},
		{"fieldbook", http.MethodGet, "/species/poison"},
	} {
		var last answer
		for i := range 9 {
			last = send(c, f.vms[i%3].callersAddr, request{
				method: s.method, path: s.path, key: guidesKey, token: s.service,
				fields: []string{standin.CrashField, "yes"}, body: "poison",
			})
		}
		waitFor(t, "two targets have crashed", func() bool { return f.crashed(s.service) >= 2 })
		time.Sleep(crashNoticeTime) // A third one may still be exiting.
		crashed := f.crashed(s.service)
		other := send(c, f.vms[0].callersAddr, request{method: s.method, path: s.path + "/other", key: guidesKey})
		fmt.Fprintf(&out, "%s: crashed targets: %d, last answer: %v, another request: %v\n", s.service, crashed, last, other)
	}
	goldie.New(t).Assert(t, "proof08_crash", out.Bytes())
}

// TestProof08QuarantineAfterRestart guards against a quarantine that ends with the processes
// which began it: VMs that are killed and started in turn must refuse the request as before.
func TestProof08QuarantineAfterRestart(t *testing.T) {
	t.Parallel()
	const learnTime = 3 * time.Second
	f := startFleet(t, fleetSpec{
		vms: 3,
		upstreams: map[string]int{
			"bookings":  1,
			"fieldbook": 8,
		},
	})
	f.mustPublish(highRateManifest(f))
	f.waitReady()
	c := newClient(t)
	poison := request{
		method: http.MethodGet, path: "/species/poison", key: guidesKey, token: "poison",
		fields: []string{standin.CrashField, "yes"}, body: "poison",
	}
	for i := range 3 {
		send(c, f.vms[i].callersAddr, poison)
	}
	waitFor(t, "two targets have crashed", func() bool { return f.crashed("fieldbook") >= 2 })
	var out bytes.Buffer
	for i, v := range f.vms {
		v.kill()
		v.start()
		f.waitReady()
		time.Sleep(learnTime)
		a := send(c, v.callersAddr, poison)
		time.Sleep(crashNoticeTime)
		fmt.Fprintf(&out, "VM %d restarted: %v, crashed targets: %d\n", i+1, a, f.crashed("fieldbook"))
	}
	goldie.New(t).Assert(t, "proof08_restart", out.Bytes())
}
