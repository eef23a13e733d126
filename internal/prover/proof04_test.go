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

// withdrawalBound is the time within which a withdrawn key stops working.
const withdrawalBound = 5 * time.Second

// caller sends requests with one key on one open connection.
type caller struct {
	vm     *vm
	client *http.Client
	mu     sync.Mutex
	last   answer
	sent   int
}

func (c *caller) load(ctx context.Context) {
	for ctx.Err() == nil {
		a := send(c.client, c.vm.callers, request{
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

// keyedLoad lets one caller for each VM send until the test ends.
func keyedLoad(t *testing.T, f *fleet) []*caller {
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

// lastRun returns when a request with the token last ran, by the upstreams' own
// records.
func lastRun(f *fleet, token string) time.Time {
	var last int64
	for _, r := range f.runs("fieldbook") {
		if r.Token == token {
			last = max(last, r.AtMicros)
		}
	}

	return time.UnixMicro(last)
}

// TestProof04Withdrawal proves that a withdrawn key stops working on every VM
// within 5 s, on open connections, whatever is cut or slow.
func TestProof04Withdrawal(t *testing.T) {
	for name, fault := range map[string]func(f *fleet){
		"no fault":                       func(*fleet) {},
		"one VM cut from the log":        func(f *fleet) { f.vms[0].toLog.cut() },
		"the log of one VM silent":       func(f *fleet) { f.vms[0].toLog.silence(toClient, true) },
		"the log slow":                   func(f *fleet) { f.logFaults(standin.LogFaults{SlowMs: 1000}) },
		"one VM cut from log and peers":  cutFirst,
		"answers to the first VM silent": silenceFirst,
	} {
		t.Run(name, func(t *testing.T) {
			f := smallFleet(t, 3)
			callers := keyedLoad(t, f)
			fault(f)
			time.Sleep(300 * time.Millisecond) // The load goes on under the fault.
			code, output := f.publish(withdrawn(bookingManifest(f)))
			accepted := time.Now()
			if code != 0 {
				t.Fatalf("publish exited with %d: %s", code, output)
			}
			for _, c := range callers {
				waitFor(t, c.vm.id+" refuses the withdrawn key", c.refused)
			}
			for _, c := range callers {
				if after := lastRun(f, "keyed "+c.vm.id).Sub(accepted); after > withdrawalBound {
					t.Errorf("%s ran a request with the withdrawn key %v after the withdrawal", c.vm.id, after)
				}
			}
		})
	}
}

// cutFirst leaves the first VM without log and peers; the others keep the log.
func cutFirst(f *fleet) {
	f.vms[0].toLog.cut()
	for _, v := range f.vms {
		v.toPeers.cut()
	}
}

// silenceFirst lets nothing come back to the first VM from log and peers, while
// its connections stay open.
func silenceFirst(f *fleet) {
	f.vms[0].toLog.silence(toClient, true)
	for _, v := range f.vms[1:] {
		v.toPeers.silence(toClient, true)
	}
}

// TestProof04Frozen proves that a VM that was frozen during a withdrawal lets no
// request with the withdrawn key pass when it goes on, not even one that had
// waited in its socket.
func TestProof04Frozen(t *testing.T) {
	f := smallFleet(t, 3)
	v := f.vms[0]
	c := newClient(t)
	ask := request{
		path:  "/species/amanita",
		key:   guidesKey,
		token: "before",
	}
	send(c, v.callers, ask) // It opens the connection.
	v.freeze()
	ask.token = "while frozen"
	waiting := make(chan answer, 1)
	go func() { waiting <- send(c, v.callers, ask) }()
	if code, output := f.publish(withdrawn(bookingManifest(f))); code != 0 {
		t.Fatalf("publish exited with %d: %s", code, output)
	}
	time.Sleep(withdrawalBound + time.Second) // The freeze outlasts what was known before it.
	v.thaw()
	ask.token = "after"
	codes := []string{(<-waiting).code(), send(c, v.callers, ask).code()}
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
	waitFor(t, "the thawed VM knows the withdrawal", func() bool {
		return send(c, v.callers, ask).code() == "key-unknown"
	})
}

// TestProof04MajorityServes proves that keyed requests are served while the log
// is down for all, and that a VM cut off from the others refuses them.
func TestProof04MajorityServes(t *testing.T) {
	f := smallFleet(t, 3)
	c := newClient(t)
	ask := func(v *vm) string {
		return send(c, v.callers, request{path: "/species/amanita", key: guidesKey}).String()
	}
	var out strings.Builder
	f.logFaults(standin.LogFaults{Down: true})
	time.Sleep(2 * withdrawalBound) // Longer than any word of the head is good for.
	for _, v := range f.vms {
		fmt.Fprintf(&out, "log down: %s %s\n", v.id, ask(v))
	}
	for _, v := range f.vms {
		v.toPeers.cut()
	}
	for _, v := range f.vms {
		waitFor(t, v.id+" refuses alone", func() bool { return strings.Contains(ask(v), "keys-stale") })
		fmt.Fprintf(&out, "log down, alone: %s %s\n", v.id, ask(v))
		fmt.Fprintf(&out, "log down, alone, open route: %s %v\n", v.id, send(c, v.callers, request{path: "/trails"}))
	}
	f.logFaults(standin.LogFaults{})
	for _, v := range f.vms {
		waitFor(t, v.id+" knows the head again", func() bool { return !strings.Contains(ask(v), "keys-stale") })
	}
	goldie.New(t).Assert(t, "proof04-majority", []byte(out.String()))
}
