package prover

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

// inForceBound is the time within which an accepted change must be in force on
// every VM.
const inForceBound = 5 * time.Second

// withRate returns the manifest with another rate for the team guides. Each
// different rate makes a new version.
func withRate(manifest string, rate int) string {
	return strings.Replace(manifest, `"guides", "rate": 500`, fmt.Sprintf(`"guides", "rate": %d`, rate), 1)
}

// publishRate publishes bookingManifest with another rate and returns its version.
func publishRate(t *testing.T, f *fleet, rate int) int64 {
	t.Helper()
	code, output := f.publish(withRate(bookingManifest(f), rate))
	if code != 0 {
		t.Fatalf("publish exited with %d: %s", code, output)
	}
	var version int64
	if _, err := fmt.Sscanf(output, "version %d", &version); err != nil {
		t.Fatalf("publish printed %q", output)
	}

	return version
}

func waitVersion(t *testing.T, version int64, vms ...*vm) {
	t.Helper()
	for _, v := range vms {
		waitFor(t, fmt.Sprintf("version %d is in force on %s", version, v.id), func() bool {
			s, err := v.status()

			return err == nil && s.Version == version
		})
	}
}

var changeApplied = regexp.MustCompile(`time=(\S+) \S+ level=info event=200 name=change-applied version=(\d+)`)

// inForceAt returns when a version came into force on a VM, according to its log
// output.
func inForceAt(t *testing.T, v *vm, version int64) time.Time {
	t.Helper()
	for _, m := range changeApplied.FindAllStringSubmatch(v.output(), -1) {
		if m[2] != strconv.FormatInt(version, 10) {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, m[1])
		if err != nil {
			t.Fatal(err)
		}

		return at
	}
	t.Fatalf("%s has not logged version %d", v.id, version)

	return time.Time{}
}

// watchVersions polls every VM until the test ends, and fails the test if a ready VM
// shows an older version than one that was in force on every VM. The returned
// function sets that version.
func watchVersions(t *testing.T, f *fleet) (reached func(int64)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	var mu sync.Mutex
	fleetVersion := int64(-1)
	minVersion := func() int64 {
		mu.Lock()
		defer mu.Unlock()

		return fleetVersion
	}
	for _, v := range f.vms {
		all.Go(func() {
			for ctx.Err() == nil {
				required := minVersion()
				s, err := v.status()
				if err == nil && s.Ready && s.Version < required {
					t.Errorf("%s is ready with version %d after version %d was in force on every VM", v.id, s.Version, required)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		all.Wait()
	})

	return func(version int64) {
		mu.Lock()
		defer mu.Unlock()
		fleetVersion = version
	}
}

// appendRecord appends raw bytes to a stream of the log.
func (f *fleet) appendRecord(stream, data string) {
	f.t.Helper()
	resp, err := http.Post("http://"+f.logAddr+"/streams/"+stream+"/records", "application/json", bytes.NewReader([]byte(data)))
	if err != nil {
		f.t.Fatal(err)
	}
	resp.Body.Close()
}

// configHead returns the head of the configuration stream: the offset that its
// next record gets.
func (f *fleet) configHead() int64 {
	f.t.Helper()
	var b struct {
		Head int64 `json:"head"`
	}
	if err := getJSON("http://"+f.logAddr+"/streams/config/records?from=1000000", &b); err != nil {
		f.t.Fatal(err)
	}

	return b.Head
}

// TestProof11InForce guards against accepted changes that take more than 5 s to come
// into force on some VM, or that are appended twice: after a lost reply of the log,
// after invalid records, with a VM disconnected from the log or without its replies,
// and with a slow log.
func TestProof11InForce(t *testing.T) {
	t.Parallel()
	f := startServingFleet(t, 3)
	reached := watchVersions(t, f)
	rate := 600
	check := func(title string) {
		t.Helper()
		rate++
		before := f.configHead()
		version := publishRate(t, f, rate)
		accepted := time.Now()
		waitVersion(t, version, f.vms...)
		reached(version)
		for _, v := range f.vms {
			if took := inForceAt(t, v, version).Sub(accepted); took > inForceBound {
				t.Errorf("%s: in force on %s after %v", title, v.id, took)
			} else {
				t.Logf("%s: in force on %s %v after publish had ended", title, v.id, took.Round(time.Millisecond))
			}
		}
		if n := f.configHead() - before; n != 1 {
			t.Errorf("%s: publish appended %d records", title, n)
		}
	}
	check("no fault")
	f.setLogFaults(standin.LogFaults{LoseAnswers: 1})
	check("lost reply of the log")
	f.appendRecord("config", "nonsense")
	f.appendRecord("config", `{"id": "stale", "base": 0, "removeTeams": ["guides"]}`)
	f.appendRecord("config", fmt.Sprintf(`{"id": "dangling", "base": %d, "removeServices": ["bookings"]}`, f.configHead()-3))
	check("invalid records")
	f.vms[0].logRelay.disconnect()
	check("one VM disconnected from the log")
	f.vms[0].logRelay.heal()
	f.vms[1].logRelay.drop(toClient, true)
	check("replies of the log to one VM dropped")
	f.vms[1].logRelay.drop(toClient, false)
	f.setLogFaults(standin.LogFaults{SlowMs: 1000})
	check("slow log")
}

// TestProof11Race guards against lost updates when operators publish concurrently:
// in each round at least one succeeds, and the others fail with the advice to publish
// again. The VMs must agree on the version afterwards.
func TestProof11Race(t *testing.T) {
	t.Parallel()
	const operators, rounds = 3, 4
	f := startServingFleet(t, 2)
	for round := range rounds {
		f.setLogFaults(standin.LogFaults{LoseAnswers: round % 2}) // In every second round the log also loses a reply.
		codes := make([]int, operators)
		outputs := make([]string, operators)
		var all sync.WaitGroup
		for i := range operators {
			all.Go(func() {
				codes[i], outputs[i] = f.publish(withRate(bookingManifest(f), 1000+10*round+i))
			})
		}
		all.Wait()
		// An operator who reads the log after the winner's append starts from the
		// winner's version and may succeed as well, with a version of its own.
		winners := map[string]bool{}
		for i := range operators {
			switch {
			case codes[i] == 0:
				winners[outputs[i]] = true
			case codes[i] != 1 || !strings.Contains(outputs[i], "publish again"):
				t.Errorf("round %d: operator %d exited with %d: %s", round, i, codes[i], outputs[i])
			}
		}
		if len(winners) == 0 {
			t.Errorf("round %d: no operator succeeded: %q", round, outputs)
		}
	}
	var versions []string
	for _, v := range f.vms {
		waitFor(t, v.id+" has read to the head of the log", func() bool {
			s, err := v.status()

			return err == nil && s.Next == f.configHead()
		})
		s, err := v.status()
		if err != nil {
			t.Fatal(err)
		}
		versions = append(versions, strconv.FormatInt(s.Version, 10))
	}
	if versions[0] != versions[1] {
		t.Errorf("the VMs have different versions: %v", versions)
	}
}

// TestProof11ReplacedOneByOne guards against the loss of the configuration when every
// VM is replaced in turn while the log is down.
func TestProof11ReplacedOneByOne(t *testing.T) {
	t.Parallel()
	f := startServingFleet(t, 3)
	version := publishRate(t, f, 700)
	waitVersion(t, version, f.vms...)
	watchVersions(t, f)(version)
	f.setLogFaults(standin.LogFaults{Down: true})
	for _, v := range f.vms {
		v.kill()
		v.start()
		waitFor(t, v.id+" is ready again", v.isReady)
	}
	waitVersion(t, version, f.vms...)
	f.setLogFaults(standin.LogFaults{})
	next := publishRate(t, f, 701)
	waitVersion(t, next, f.vms...)
}

// TestProof11ReplacedAtOnce guards against VMs that become ready without a
// configuration when all are replaced at once while the log is down. Once the log is
// back, they must start from the snapshot and the records after it.
func TestProof11ReplacedAtOnce(t *testing.T) {
	t.Parallel()
	f := startServingFleet(t, 3)
	version := publishRate(t, f, 700)
	waitVersion(t, version, f.vms...)
	waitFor(t, "a snapshot holds the version", func() bool {
		return strings.Contains(f.vms[0].output(), fmt.Sprintf("name=snapshot-written version=%d", version))
	})
	last := publishRate(t, f, 701)
	waitVersion(t, last, f.vms...)
	watchVersions(t, f)(last)
	f.setLogFaults(standin.LogFaults{Down: true})
	for _, v := range f.vms {
		v.kill()
	}
	for _, v := range f.vms {
		v.start()
	}
	time.Sleep(inForceBound) // No VM may become ready meanwhile.
	for _, v := range f.vms {
		if v.isReady() {
			t.Errorf("%s is ready without a configuration", v.id)
		}
	}
	// The records must be gone before the log is back, since the VMs then read it at once.
	f.expire("config", version+1)
	f.setLogFaults(standin.LogFaults{})
	waitVersion(t, last, f.vms...)
	f.waitReady()
	for _, v := range f.vms {
		if !strings.Contains(v.output(), "name=state-restored") {
			t.Errorf("%s did not start from a snapshot", v.id)
		}
	}
}

// TestProof11Expired guards against a VM that never catches up after it has fallen
// behind the oldest retained record of the log, and against a new VM that cannot
// start because the older records have expired.
func TestProof11Expired(t *testing.T) {
	t.Parallel()
	f := startServingFleet(t, 2)
	version := publishRate(t, f, 700)
	waitVersion(t, version, f.vms...)
	waitFor(t, "a snapshot holds the version", func() bool {
		return strings.Contains(f.vms[0].output(), fmt.Sprintf("name=snapshot-written version=%d", version))
	})
	lagging := f.vms[1]
	lagging.freeze()
	for i := range 3 {
		version = publishRate(t, f, 701+i)
	}
	f.expire("config", version)
	lagging.resume()
	waitVersion(t, version, f.vms...)
	waitFor(t, "a snapshot replaces the expired records", func() bool {
		return strings.Contains(f.vms[0].output(), fmt.Sprintf("name=snapshot-written version=%d", version))
	})
	fresh := f.addVM()
	waitVersion(t, version, fresh)
	waitFor(t, "the new VM is ready", fresh.isReady)
	next := publishRate(t, f, 800)
	waitVersion(t, next, f.vms...)
}

// expire makes the log drop the records of a stream before an offset.
func (f *fleet) expire(stream string, before int64) {
	f.t.Helper()
	resp, err := http.Post(fmt.Sprintf("http://%s/streams/%s/expire?before=%d", f.logAddr, stream, before), "", http.NoBody)
	if err != nil {
		f.t.Fatal(err)
	}
	resp.Body.Close()
}
