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
	// waitTimeout bounds the wait for a condition; no result depends on how soon
	// the condition holds.
	waitTimeout = 20 * time.Second
	// stepTime is the step by which the manual clock advances.
	stepTime = 100 * time.Millisecond
)

var errDown = errors.New("down")

// fleet is a set of VMs with a fake log, fake calls between VMs and a manual clock.
type fleet struct {
	t      *testing.T
	timers *timer.Manual
	out    strings.Builder

	mu      sync.Mutex
	streams map[recorder.Stream][][]byte
	first   map[recorder.Stream]recorder.Offset
	down    bool
	// logCutOff and peersCutOff hold the VMs that cannot reach the log or the peers.
	logCutOff   map[member.ID]bool
	peersCutOff map[member.ID]bool
	vms         map[member.ID]*vm
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
		t:           t,
		timers:      timer.NewManual(timer.Instant(time.Hour)),
		streams:     map[recorder.Stream][][]byte{},
		first:       map[recorder.Stream]recorder.Offset{},
		logCutOff:   map[member.ID]bool{},
		peersCutOff: map[member.ID]bool{},
		vms:         map[member.ID]*vm{},
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
	f.withLock(func() { v.dead = true })
	v.stop()
	v.done.Wait()
}

func (f *fleet) vm(id member.ID) *vm {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.vms[id]
}

func (f *fleet) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// Read implements the log of one VM.
func (v *vm) Read(ctx context.Context, stream recorder.Stream, from recorder.Offset, wait time.Duration) (recorder.Batch, error) {
	if wait > 0 { // Replaces the wait of the log by 1 ms of real time.
		select {
		case <-ctx.Done():
		case <-time.After(time.Millisecond):
		}
	}
	f := v.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || f.logCutOff[v.id] {
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

// View implements the viewer of one VM.
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

func (v *vm) connect(address string) (*vm, error) {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	p := v.fleet.vms[member.ID(address)]
	if v.fleet.peersCutOff[v.id] || v.fleet.peersCutOff[p.id] || p.dead {
		return nil, errDown
	}

	return p, nil
}

// Position implements the call to a peer.
func (v *vm) Position(_ context.Context, address string) (follower.Position, error) {
	p, err := v.connect(address)
	if err != nil {
		return follower.Position{}, err
	}

	return p.follower.Position(), nil
}

// Records implements the call to a peer.
func (v *vm) Records(_ context.Context, address string, from recorder.Offset) ([]recorder.Record, bool, error) {
	p, err := v.connect(address)
	if err != nil {
		return nil, false, err
	}
	records, kept := p.follower.Records(from)

	return records, kept, nil
}

// Snapshot implements the call to a peer.
func (v *vm) Snapshot(_ context.Context, address string) (*manifester.Manifest, recorder.Offset, error) {
	p, err := v.connect(address)
	if err != nil {
		return nil, 0, err
	}
	m, next := p.follower.State()

	return m, next, nil
}

func (f *fleet) append(stream recorder.Stream, data []byte) {
	f.withLock(func() { f.streams[stream] = append(f.streams[stream], data) })
}

func (f *fleet) publish(base int, name string) {
	f.append(recorder.StreamConfig, fmt.Appendf(nil, `{"id": %q, "base": %d, "teams": [{"name": %q, "rate": 10, "burst": 5}]}`, name, base, name))
}

// waitUntil advances the clock until the condition holds for every VM, and adds
// the condition to the transcript.
func (f *fleet) waitUntil(condition string, want func(*vm) bool, ids ...member.ID) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); ; {
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
			f.t.Fatalf("not within %v: %s; transcript so far:\n%s", waitTimeout, condition, f.out.String())
		}
	}
	fmt.Fprintf(&f.out, "%s: %v\n", condition, ids)
}

// advance advances the clock by d and adds that to the transcript.
func (f *fleet) advance(d time.Duration) {
	for range d / stepTime {
		f.timers.Advance(stepTime)
		time.Sleep(2 * time.Millisecond)
	}
	fmt.Fprintf(&f.out, "advanced by %v\n", d)
}

func (f *fleet) printState(ids ...member.ID) {
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

// TestCutOffFromLog checks that a VM that cannot reach the log gets a change from
// its peers and stays fresh.
func TestCutOffFromLog(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.publish(-1, "guides")
	f.waitUntil("version 0 in force", version(0), "a", "b", "c")
	f.withLock(func() { f.logCutOff["b"] = true })
	f.publish(0, "hostels")
	f.waitUntil("version 1 in force", version(1), "a", "b", "c")
	f.advance(10 * time.Second)
	f.waitUntil("fresh", fresh, "a", "b", "c")
	f.printState("a", "b", "c")
	f.assert("cut-off-from-log")
}

// TestCutOffFromAll checks that the state of a VM that can reach neither the log
// nor its peers becomes stale, while the others stay fresh, with and without the
// log.
func TestCutOffFromAll(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.publish(-1, "guides")
	f.waitUntil("version 0 in force", version(0), "a", "b", "c")
	f.waitUntil("ready", ready, "a", "b", "c")
	f.withLock(func() { f.logCutOff["b"], f.peersCutOff["b"] = true, true })
	f.publish(0, "hostels")
	f.waitUntil("version 1 in force", version(1), "a", "c")
	f.waitUntil("stale", stale, "b")
	f.printState("a", "b", "c")
	f.withLock(func() { f.down = true })
	f.advance(30 * time.Second)
	f.waitUntil("fresh without the log", fresh, "a", "c")
	f.printState("a", "b", "c")
	f.withLock(func() { f.peersCutOff["b"] = false })
	f.waitUntil("version 1 in force", version(1), "b")
	f.waitUntil("fresh", fresh, "b")
	f.assert("cut-off-from-all")
}

// TestReplacedOneByOne replaces the VMs one by one while the log is down: each new
// one gets the state from its peers.
func TestReplacedOneByOne(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.publish(-1, "guides")
	f.publish(0, "hostels")
	f.waitUntil("version 1 in force", version(1), "a", "b", "c")
	f.waitUntil("ready", ready, "a", "b", "c")
	f.withLock(func() { f.down = true })
	for _, id := range []member.ID{"a", "b", "c"} {
		f.kill(id)
		f.start(id)
		f.waitUntil("ready again", ready, id)
		f.printState(id)
	}
	f.withLock(func() { f.down = false })
	f.publish(1, "students")
	f.waitUntil("version 2 in force", version(2), "a", "b", "c")
	f.assert("replaced-one-by-one")
}

// TestReplacedAtOnce replaces all VMs while the log is down and lets old records
// expire: the fleet restores the snapshot and the records after it once the log
// is back.
func TestReplacedAtOnce(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.publish(-1, "guides")
	f.publish(0, "hostels")
	f.waitUntil("version 1 in force", version(1), "a", "b", "c")
	m, next := f.vm("a").follower.State()
	for _, c := range snapshotter.Split("s1", m, next) {
		data, err := encoder.Chunk(c)
		if err != nil {
			t.Fatal(err)
		}
		f.append(recorder.StreamSnapshots, data)
	}
	f.publish(1, "students")
	f.waitUntil("version 2 in force", version(2), "a", "b", "c")
	f.withLock(func() { f.down = true })
	for _, id := range []member.ID{"a", "b", "c"} {
		f.kill(id)
	}
	for _, id := range []member.ID{"a", "b", "c"} {
		f.start(id)
	}
	f.advance(30 * time.Second)
	f.printState("a", "b", "c")
	f.withLock(func() { f.down, f.first[recorder.StreamConfig] = false, 2 })
	f.waitUntil("version 2 in force", version(2), "a", "b", "c")
	f.waitUntil("ready", ready, "a", "b", "c")
	f.assert("replaced-at-once")
}

// TestLagging checks that a VM that lacks records which have expired restores the
// state of a peer, without a snapshot in the log.
func TestLagging(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.publish(-1, "v0")
	f.waitUntil("version 0 in force", version(0), "a", "b", "c")
	f.withLock(func() { f.logCutOff["b"], f.peersCutOff["b"] = true, true })
	const changes = 1100
	for i := range changes {
		f.publish(i, fmt.Sprintf("v%d", i+1))
	}
	f.waitUntil("all changes in force", version(changes), "a", "c")
	f.withLock(func() {
		f.first[recorder.StreamConfig] = changes
		f.logCutOff["b"] = false
	})
	f.advance(5 * time.Second)
	f.printState("b")
	f.withLock(func() { f.peersCutOff["b"] = false })
	f.waitUntil("all changes in force", version(changes), "b")
	f.waitUntil("fresh", fresh, "b")
	f.assert("lagging")
}
