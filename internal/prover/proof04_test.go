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

// withdrawalBound is the time within which every VM must refuse a withdrawn key.
const withdrawalBound = 5 * time.Second

// caller repeats requests with guidesKey to one VM, on a connection that stays
// open.
type caller struct {
	vm     *vm
	client *http.Client
	mu     sync.Mutex
	last   answer
	sent   int
}

func (c *caller) load(ctx context.Context) {
	for ctx.Err() == nil {
		a := send(c.client, c.vm.callersAddr, request{
			path:  "/species/amanita",
			key:   guidesKey,
			token: "keyed " + c.vm.id,
		})
		c.mu.Lock()
		c.last = a
		c.sent++
		c.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
	}
}

func (c *caller) refused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.last.code() == "key-unknown" || c.last.code() == "keys-stale"
}

// startKeyedLoad starts one caller for each VM, which sends until the test ends.
func startKeyedLoad(t *testing.T, f *fleet) []*caller {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	var callers []*caller
	for _, v := range f.vms {
		c := &caller{
			vm:     v,
			client: newClient(t),
		}
		callers = append(callers, c)
		all.Go(func() { c.load(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		all.Wait()
	})

	return callers
}

// lastRun returns when a request with the token last began to run, according to
// the records of the upstreams.
func lastRun(f *fleet, token string) time.Time {
	var last int64
	for _, r := range f.runs("fieldbook") {
		if r.Token == token {
			last = max(last, r.AtMicros)
		}
	}

	return time.UnixMicro(last)
}

// TestProof04Withdrawal guards against a VM that still accepts a withdrawn key on
// an open connection more than 5 s after the withdrawal, because a fault of the log
// or of the network keeps the withdrawal from the VM.
func TestProof04Withdrawal(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(f *fleet){
		"no fault":                             func(*fleet) {},
		"one VM disconnected from the log":     func(f *fleet) { f.vms[0].logRelay.disconnect() },
		"replies of the log to one VM dropped": func(f *fleet) { f.vms[0].logRelay.drop(toClient, true) },
		"slow log":                             func(f *fleet) { f.setLogFaults(standin.LogFaults{SlowMs: 1000}) },
		"all VMs disconnected from each other, one also from the log":      isolateFirst,
		"replies of the log to one VM and of its peers to all VMs dropped": dropRepliesToFirst,
	} {
		t.Run(name, func(t *testing.T) {
			f := startServingFleet(t, 3)
			callers := startKeyedLoad(t, f)
			fault(f)
			time.Sleep(300 * time.Millisecond) // The load continues under the fault.
			code, output := f.publish(replaceGuidesKey(bookingManifest(f)))
			accepted := time.Now()
			if code != 0 {
				t.Fatalf("publish exited with %d: %s", code, output)
			}
			for _, c := range callers {
				waitFor(t, c.vm.id+" refuses the withdrawn key", c.refused)
			}
			for _, c := range callers {
				after := lastRun(f, "keyed "+c.vm.id).Sub(accepted)
				t.Logf("%s last ran a request with the withdrawn key %v after publish had ended", c.vm.id, after.Round(time.Millisecond))
				if after > withdrawalBound {
					t.Errorf("%s ran a request with the withdrawn key %v after the withdrawal", c.vm.id, after)
				}
			}
		})
	}
}

// isolateFirst disconnects the first VM from the log, and every VM from its peers.
// The other VMs can still reach the log.
func isolateFirst(f *fleet) {
	f.vms[0].logRelay.disconnect()
	for _, v := range f.vms {
		v.peerRelay.disconnect()
	}
}

// dropRepliesToFirst drops the replies of the log to the first VM, and the replies
// of the other VMs to all of their peers. The connections stay open.
func dropRepliesToFirst(f *fleet) {
	f.vms[0].logRelay.drop(toClient, true)
	for _, v := range f.vms[1:] {
		v.peerRelay.drop(toClient, true)
	}
}

// TestProof04Frozen guards against a VM that was frozen during a withdrawal and
// then accepts the withdrawn key when it resumes, because it still trusts what it
// knew before the freeze. One request is sent while the VM is frozen and waits in
// its socket.
func TestProof04Frozen(t *testing.T) {
	t.Parallel()
	f := startServingFleet(t, 3)
	v := f.vms[0]
	c := newClient(t)
	ask := request{
		path:  "/species/amanita",
		key:   guidesKey,
		token: "before",
	}
	send(c, v.callersAddr, ask) // This opens the connection.
	v.freeze()
	ask.token = "while frozen"
	waiting := make(chan answer, 1)
	go func() { waiting <- send(c, v.callersAddr, ask) }()
	if code, output := f.publish(replaceGuidesKey(bookingManifest(f))); code != 0 {
		t.Fatalf("publish exited with %d: %s", code, output)
	}
	time.Sleep(withdrawalBound + time.Second) // What the VM knew before the freeze has expired.
	v.resume()
	ask.token = "after"
	codes := []string{(<-waiting).code(), send(c, v.callersAddr, ask).code()}
	for _, code := range codes {
		if code != "keys-stale" && code != "key-unknown" {
			t.Errorf("a withdrawn key got %q after the freeze", code)
		}
	}
	for _, r := range f.runs("fieldbook") {
		if r.Token == "while frozen" || r.Token == "after" {
			t.Errorf("a request ran with the withdrawn key: %s", r.Token)
		}
	}
	waitFor(t, "the resumed VM knows the withdrawal", func() bool {
		return send(c, v.callersAddr, ask).code() == "key-unknown"
	})
}

// TestProof04MajorityServes guards against an outage of the log that stops requests
// with keys while the VMs still reach each other, and against a VM that serves such
// requests while it reaches neither the log nor its peers.
func TestProof04MajorityServes(t *testing.T) {
	t.Parallel()
	f := startServingFleet(t, 3)
	c := newClient(t)
	ask := func(v *vm) string {
		return send(c, v.callersAddr, request{path: "/species/amanita", key: guidesKey}).String()
	}
	var out strings.Builder
	f.setLogFaults(standin.LogFaults{Down: true})
	time.Sleep(2 * withdrawalBound) // Longer than a VM may rely on a known head of the log.
	for _, v := range f.vms {
		fmt.Fprintf(&out, "log down: %s %s\n", v.id, ask(v))
	}
	for _, v := range f.vms {
		v.peerRelay.disconnect()
	}
	for _, v := range f.vms {
		waitFor(t, v.id+" refuses while isolated", func() bool { return strings.Contains(ask(v), "keys-stale") })
		fmt.Fprintf(&out, "log down, isolated: %s %s\n", v.id, ask(v))
		fmt.Fprintf(&out, "log down, isolated, open route: %s %v\n", v.id, send(c, v.callersAddr, request{path: "/trails"}))
	}
	f.setLogFaults(standin.LogFaults{})
	for _, v := range f.vms {
		waitFor(t, v.id+" knows the head of the log again", func() bool { return !strings.Contains(ask(v), "keys-stale") })
	}
	goldie.New(t).Assert(t, "proof04-majority", []byte(out.String()))
}
