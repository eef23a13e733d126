package relayer_test

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/internal/encoder"
	"github.com/lagoonkeel/lagoonkeel/internal/follower"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/relayer"
	"github.com/lagoonkeel/lagoonkeel/internal/snapshotter"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// patience bounds the wait for a state; no verdict depends on how fast it
	// comes.
	patience = 20 * time.Second
	// stepTime is how far the hand-moved clock goes at once.
	stepTime = 100 * time.Millisecond
)

var errDown = errors.New("down")

// fleet is a set of VMs over a fake log and fake links, on a hand-moved clock.
type fleet struct {
	t      *testing.T
	timers *timer.Manual
	out    strings.Builder

	mu      sync.Mutex
	streams map[recorder.Stream][][]byte
	first   map[recorder.Stream]recorder.Offset
	down    bool
	// cutLog and cutPeers hold the VMs without a path to the log and to peers.
	cutLog   map[member.ID]bool
	cutPeers map[member.ID]bool
	vms      map[member.ID]*vm
}

type vm struct {
	id       member.ID
	fleet    *fleet
	follower *follower.Follower
	stop     context.CancelFunc
	dead     bool
	done     sync.WaitGroup
}

func newFleet(t *testing.T, ids ...member.ID) *fleet {
	f := &fleet{
		t:        t,
		timers:   timer.NewManual(timer.Instant(time.Hour)),
		streams:  map[recorder.Stream][][]byte{},
		first:    map[recorder.Stream]recorder.Offset{},
		cutLog:   map[member.ID]bool{},
		cutPeers: map[member.ID]bool{},
		vms:      map[member.ID]*vm{},
	}
	for _, id := range ids {
		f.start(id)
	}
	t.Cleanup(func() {
		for id := range f.vms {
			f.kill(id)
		}
	})

	return f
}

func (f *fleet) start(id member.ID) {
	ctx, cancel := context.WithCancel(context.Background())
	v := &vm{
		id:    id,
		fleet: f,
		stop:  cancel,
	}
	v.follower = follower.New(v, snapshotter.NewLoader(v, decoder.Chunk), decoder.Change, f.timers, logger.Discard())
	r := relayer.New(v.follower, v, v, f.timers)
	f.mu.Lock()
	f.vms[id] = v
	f.mu.Unlock()
	v.done.Go(func() { _ = v.follower.Run(ctx) })
	v.done.Go(func() { _ = r.Run(ctx) })
}

func (f *fleet) kill(id member.ID) {
	v := f.vm(id)
	f.set(func() { v.dead = true })
	v.stop()
	v.done.Wait()
}

func (f *fleet) vm(id member.ID) *vm {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.vms[id]
}

func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// Read implements the log of one VM.
func (v *vm) Read(ctx context.Context, stream recorder.Stream, from recorder.Offset, wait time.Duration) (recorder.Batch, error) {
	if wait > 0 { // A stand-in for the waiting of the log, in real time.
		select {
		case <-ctx.Done():
		case <-time.After(time.Millisecond):
		}
	}
	f := v.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || f.cutLog[v.id] {
		return recorder.Batch{}, recorder.NewUnavailableError(stream, false, errDown)
	}
	first := f.first[stream]
	if from < first {
		return recorder.Batch{}, recorder.NewExpiredError(from, first)
	}
	var records []recorder.Record
	for o := from; int(o) < len(f.streams[stream]); o++ {
		records = append(records, recorder.NewRecord(o, f.streams[stream][o]))
	}

	return recorder.NewBatch(records, first, recorder.Offset(len(f.streams[stream]))), nil
}

// View implements the view of one VM.
func (v *vm) View() *member.View {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	var peers []member.VM
	for id := range v.fleet.vms {
		if id != v.id {
			peers = append(peers, member.NewVM(id, 0, string(id), "kandy"))
		}
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].ID() < peers[j].ID() })

	return member.NewView(member.NewVM(v.id, 0, string(v.id), "kandy"), peers)
}

func (v *vm) reach(address string) (*vm, error) {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	p := v.fleet.vms[member.ID(address)]
	if v.fleet.cutPeers[v.id] || v.fleet.cutPeers[p.id] || p.dead {
		return nil, errDown
	}

	return p, nil
}

// Position implements the question to a peer.
func (v *vm) Position(_ context.Context, address string) (follower.Position, error) {
	p, err := v.reach(address)
	if err != nil {
		return follower.Position{}, err
	}

	return p.follower.Position(), nil
}

// Records implements the question to a peer.
func (v *vm) Records(_ context.Context, address string, from recorder.Offset) ([]recorder.Record, bool, error) {
	p, err := v.reach(address)
	if err != nil {
		return nil, false, err
	}
	records, kept := p.follower.Records(from)

	return records, kept, nil
}

// Snapshot implements the question to a peer.
func (v *vm) Snapshot(_ context.Context, address string) (*manifester.Manifest, recorder.Offset, error) {
	p, err := v.reach(address)
	if err != nil {
		return nil, 0, err
	}
	m, next := p.follower.State()

	return m, next, nil
}

func (f *fleet) append(stream recorder.Stream, data []byte) {
	f.set(func() { f.streams[stream] = append(f.streams[stream], data) })
}

func (f *fleet) publish(base int, name string) {
	f.append(recorder.StreamConfig, fmt.Appendf(nil, `{"id": %q, "base": %d, "teams": [{"name": %q, "rate": 10, "burst": 5}]}`, name, base, name))
}

// until moves the clock on until every VM is as wanted, and writes that down.
func (f *fleet) until(what string, want func(*vm) bool, ids ...member.ID) {
	f.t.Helper()
	for end := time.Now().Add(patience); ; {
		f.timers.Advance(stepTime)
		time.Sleep(2 * time.Millisecond)
		all := true
		for _, id := range ids {
			all = all && want(f.vm(id))
		}
		if all {
			break
		}
		if time.Now().After(end) {
			f.t.Fatalf("not within %v: %s; so far:\n%s", patience, what, f.out.String())
		}
	}
	fmt.Fprintf(&f.out, "%s: %v\n", what, ids)
}

// pass moves the clock on by d.
func (f *fleet) pass(d time.Duration) {
	for range d / stepTime {
		f.timers.Advance(stepTime)
		time.Sleep(2 * time.Millisecond)
	}
	fmt.Fprintf(&f.out, "%v pass\n", d)
}

func (f *fleet) show(ids ...member.ID) {
	for _, id := range ids {
		v := f.vm(id)
		fmt.Fprintf(&f.out, "  %s version=%d ready=%v fresh=%v\n", id, v.follower.Manifest().Version(), v.follower.Ready(), v.fresh())
	}
}

func (v *vm) fresh() bool { return v.fleet.timers.Now().Before(v.follower.FreshUntil()) }

func ready(v *vm) bool { return v.follower.Ready() }

func fresh(v *vm) bool { return v.fresh() }

func stale(v *vm) bool { return !v.fresh() }

func version(n manifester.Version) func(*vm) bool {
	return func(v *vm) bool { return v.follower.Manifest().Version() == n }
}

func (f *fleet) assert(name string) {
	f.t.Helper()
	goldie.New(f.t).Assert(f.t, name, []byte(f.out.String()))
}

// TestCutOffFromLog lets one VM get a change through its peers.
func TestCutOffFromLog(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.publish(-1, "guides")
	f.until("version 0 in force", version(0), "a", "b", "c")
	f.set(func() { f.cutLog["b"] = true })
	f.publish(0, "hostels")
	f.until("version 1 in force", version(1), "a", "b", "c")
	f.pass(10 * time.Second)
	f.until("fresh", fresh, "a", "b", "c")
	f.show("a", "b", "c")
	f.assert("cut-off-from-log")
}

// TestCutOffFromAll makes a VM refuse that hears of nobody, while the others
// serve on, with and without the log.
func TestCutOffFromAll(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.publish(-1, "guides")
	f.until("version 0 in force", version(0), "a", "b", "c")
	f.until("ready", ready, "a", "b", "c")
	f.set(func() { f.cutLog["b"], f.cutPeers["b"] = true, true })
	f.publish(0, "hostels")
	f.until("version 1 in force", version(1), "a", "c")
	f.until("stale", stale, "b")
	f.show("a", "b", "c")
	f.set(func() { f.down = true })
	f.pass(30 * time.Second)
	f.until("fresh without the log", fresh, "a", "c")
	f.show("a", "b", "c")
	f.set(func() { f.cutPeers["b"] = false })
	f.until("version 1 in force", version(1), "b")
	f.until("fresh", fresh, "b")
	f.assert("cut-off-from-all")
}

// TestReplacedOneByOne replaces every VM while the log is down.
func TestReplacedOneByOne(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.publish(-1, "guides")
	f.publish(0, "hostels")
	f.until("version 1 in force", version(1), "a", "b", "c")
	f.until("ready", ready, "a", "b", "c")
	f.set(func() { f.down = true })
	for _, id := range []member.ID{"a", "b", "c"} {
		f.kill(id)
		f.start(id)
		f.until("ready again", ready, id)
		f.show(id)
	}
	f.set(func() { f.down = false })
	f.publish(1, "students")
	f.until("version 2 in force", version(2), "a", "b", "c")
	f.assert("replaced-one-by-one")
}

// TestReplacedAtOnce replaces all VMs while the log is down, and lets old
// records expire: the fleet starts again from the snapshot and its tail.
func TestReplacedAtOnce(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.publish(-1, "guides")
	f.publish(0, "hostels")
	f.until("version 1 in force", version(1), "a", "b", "c")
	m, next := f.vm("a").follower.State()
	for _, c := range snapshotter.Split("s1", m, next) {
		data, err := encoder.Chunk(c)
		if err != nil {
			t.Fatal(err)
		}
		f.append(recorder.StreamSnapshots, data)
	}
	f.publish(1, "students")
	f.until("version 2 in force", version(2), "a", "b", "c")
	f.set(func() { f.down = true })
	for _, id := range []member.ID{"a", "b", "c"} {
		f.kill(id)
	}
	for _, id := range []member.ID{"a", "b", "c"} {
		f.start(id)
	}
	f.pass(30 * time.Second)
	f.show("a", "b", "c")
	f.set(func() { f.down, f.first[recorder.StreamConfig] = false, 2 })
	f.until("version 2 in force", version(2), "a", "b", "c")
	f.until("ready", ready, "a", "b", "c")
	f.assert("replaced-at-once")
}

// TestLagging lets a VM that is behind expired records restore the state of a
// peer, without a snapshot in the log.
func TestLagging(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.publish(-1, "v0")
	f.until("version 0 in force", version(0), "a", "b", "c")
	f.set(func() { f.cutLog["b"], f.cutPeers["b"] = true, true })
	const changes = 1100
	for i := range changes {
		f.publish(i, fmt.Sprintf("v%d", i+1))
	}
	f.until("all changes in force", version(changes), "a", "c")
	f.set(func() {
		f.first[recorder.StreamConfig] = changes
		f.cutLog["b"] = false
	})
	f.pass(5 * time.Second)
	f.show("b")
	f.set(func() { f.cutPeers["b"] = false })
	f.until("all changes in force", version(changes), "b")
	f.until("fresh", fresh, "b")
	f.assert("lagging")
}
