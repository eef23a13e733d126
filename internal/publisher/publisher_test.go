package publisher_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/internal/encoder"
	"github.com/lagoonkeel/lagoonkeel/internal/publisher"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/snapshotter"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

var errLost = errors.New("connection closed")

// fault is what goes wrong with one append, or just before it.
type fault int

const (
	none fault = iota
	// responseLost loses the response after the write.
	responseLost
	// callLost loses the call before the write.
	callLost
	// rivalFirst appends another operator's change before this one.
	rivalFirst
	// rivalFirstResponseLost also loses the response.
	rivalFirstResponseLost
)

// fakeLog is a log in memory. Each append has the next of the faults.
type fakeLog struct {
	mu      sync.Mutex
	streams map[recorder.Stream][][]byte
	first   recorder.Offset
	faults  []fault
	down    bool
	appends int
}

func (l *fakeLog) add(s recorder.Stream, data string) {
	l.streams[s] = append(l.streams[s], []byte(data))
}

// Append appends the record, with the next fault.
func (l *fakeLog) Append(_ context.Context, s recorder.Stream, data []byte) (recorder.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	f := none
	if len(l.faults) > 0 {
		f, l.faults = l.faults[0], l.faults[1:]
	}
	if f == rivalFirst || f == rivalFirstResponseLost {
		l.add(s, teamChange("rival", len(l.streams[s])-1, "rivals"))
	}
	if f != callLost {
		l.add(s, string(data))
	}
	if f == none || f == rivalFirst {
		return recorder.Offset(len(l.streams[s]) - 1), nil
	}

	return 0, recorder.NewUnavailableError(s, true, errLost)
}

// Read returns the records from the offset on.
func (l *fakeLog) Read(_ context.Context, s recorder.Stream, from recorder.Offset, _ time.Duration) (recorder.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return recorder.Batch{}, recorder.NewUnavailableError(s, false, errLost)
	}
	first := recorder.Offset(0)
	if s == recorder.StreamConfig {
		first = l.first
	}
	if from < first {
		return recorder.Batch{}, recorder.NewExpiredError(from, first)
	}
	var records []recorder.Record
	for o := from; int(o) < len(l.streams[s]); o++ {
		records = append(records, recorder.NewRecord(o, l.streams[s][o]))
	}

	return recorder.NewBatch(records, first, recorder.Offset(len(l.streams[s]))), nil
}

func teamChange(id string, base int, team string) string {
	return fmt.Sprintf(`{"id": %q, "base": %d, "teams": [{"name": %q, "rate": 10, "burst": 5}]}`, id, base, team)
}

func manifest(t *testing.T, teams ...string) *manifester.Manifest {
	t.Helper()
	var list []*manifester.Team
	for _, n := range teams {
		list = append(list, manifester.NewTeam(n, 10, 5, 1, nil))
	}
	m, err := manifester.Restore(manifester.NoVersion, nil, list, nil)
	if err != nil {
		t.Fatal(err)
	}

	return m
}

// TestPublish compares the result of a publication, under failures of the log, with
// the golden transcript.
func TestPublish(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		name   string
		teams  []string
		faults []fault
		// after runs between planning and publishing.
		after func(l *fakeLog)
	}{
		{name: "change", teams: []string{"guides", "hostels"}},
		{name: "no change", teams: []string{"guides"}},
		{name: "response lost after the write", teams: []string{"hostels"}, faults: []fault{responseLost}},
		{name: "call lost before the write", teams: []string{"hostels"}, faults: []fault{callLost, callLost}},
		{name: "another change first", teams: []string{"hostels"}, faults: []fault{rivalFirst}},
		{name: "another change first, response lost", teams: []string{"hostels"}, faults: []fault{rivalFirstResponseLost}},
		{
			name: "another change between plan and append", teams: []string{"hostels"},
			after: func(l *fakeLog) { l.add(recorder.StreamConfig, teamChange("rival", 0, "rivals")) },
		},
		{
			name: "invalid record between plan and append", teams: []string{"hostels"},
			after: func(l *fakeLog) { l.add(recorder.StreamConfig, "nonsense") },
		},
		{
			name: "log unavailable after the plan", teams: []string{"hostels"},
			after: func(l *fakeLog) { l.down = true },
		},
	} {
		l := &fakeLog{
			streams: map[recorder.Stream][][]byte{},
			faults:  c.faults,
		}
		l.add(recorder.StreamConfig, teamChange("first", -1, "guides"))
		p, stop := start(l)
		plan, err := p.Plan(t.Context(), manifest(t, c.teams...))
		if err != nil {
			t.Fatal(err)
		}
		if c.after != nil {
			c.after(l)
		}
		version, err := p.Publish(t.Context(), plan)
		stop()
		fmt.Fprintf(&out, "%s: version %d, %d appends\n  error: %s\n", c.name, version, l.appends, text(err, plan))
	}
	goldie.New(t).Assert(t, "publish", []byte(out.String()))
}

// text returns the text of an error with ID in place of the change's random id.
func text(err error, plan *publisher.Plan) string {
	return strings.ReplaceAll(fmt.Sprint(err), string(plan.Change().ID()), "ID")
}

// start returns a publisher and a function that stops the goroutine which advances the
// publisher's clock.
func start(l *fakeLog) (p *publisher.Publisher, stop func()) {
	timers := timer.NewManual(0)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		for ctx.Err() == nil {
			timers.Advance(100 * time.Millisecond)
			time.Sleep(time.Millisecond)
		}
	})

	return publisher.New(l, snapshotter.NewLoader(l, decoder.Chunk), timers, publisher.DefaultWait), func() {
		cancel()
		done.Wait()
	}
}

// TestPublishAfterExpiry checks that a plan starts from the newest snapshot if records
// of the log have expired, and fails without a snapshot.
func TestPublishAfterExpiry(t *testing.T) {
	l := &fakeLog{
		streams: map[recorder.Stream][][]byte{},
	}
	for i := range 3 {
		l.add(recorder.StreamConfig, teamChange(fmt.Sprint(i), i-1, fmt.Sprintf("team-%d", i)))
	}
	l.first = 2
	p, stop := start(l)
	defer stop()
	if _, err := p.Plan(t.Context(), manifest(t)); !errors.HasType(err, &snapshotter.MissingError{}) {
		t.Errorf("without a snapshot the error is %v, want a MissingError", err)
	}
	old, err := manifester.Restore(1, nil, manifest(t, "team-0", "team-1").Teams(), nil)
	if err != nil {
		t.Fatal(err)
	}
	data, err := encoder.Chunk(snapshotter.Split("s", old, 2)[0])
	if err != nil {
		t.Fatal(err)
	}
	l.add(recorder.StreamSnapshots, string(data))
	plan, err := p.Plan(t.Context(), manifest(t, "team-0", "team-1"))
	if err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(plan.InForce().Version(), plan.Change().RemovedTeams()); got != "2 [team-2]" {
		t.Errorf("the version in force and the removed teams are %s, want 2 [team-2]", got)
	}
}

// fleet is a set of VMs with the versions that are in force on them.
type fleet struct {
	mu sync.Mutex
	// at maps addresses to versions. A VM with a version below -1 does not answer.
	at map[string]int64
	// step is added to the version of a VM on each call, up to version 5.
	step int64
}

// VMs returns three VMs whose addresses are their names.
func (f *fleet) VMs(context.Context) ([]publisher.VM, error) {
	var vms []publisher.VM
	for _, n := range []string{"vm-1", "vm-2", "vm-3"} {
		vms = append(vms, publisher.NewVM(n, n))
	}

	return vms, nil
}

// InForce advances the VM by a step and reports whether the version is in force.
func (f *fleet) InForce(_ context.Context, address string, v manifester.Version) (in bool, progress string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at[address] < -1 {
		return false, "", errLost
	}
	f.at[address] = min(5, f.at[address]+f.step)

	return f.at[address] >= int64(v), fmt.Sprintf("version %d is in force", f.at[address]), nil
}

// TestWait compares the VMs that Wait reports as lagging with the golden transcript.
func TestWait(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		name string
		at   map[string]int64
		step int64
	}{
		{"in force on all", map[string]int64{"vm-1": 5, "vm-2": 6, "vm-3": 5}, 0},
		{"all reach the version", map[string]int64{"vm-1": 0, "vm-2": 3, "vm-3": -1}, 1},
		{"one lags, one does not answer", map[string]int64{"vm-1": 5, "vm-2": 4, "vm-3": -2}, 0},
	} {
		p, stop := start(&fakeLog{})
		n, err := p.Wait(t.Context(), &fleet{
			at:   c.at,
			step: c.step,
		}, 5)
		stop()
		fmt.Fprintf(&out, "%s: %d VMs, error: %v\n", c.name, n, err)
	}
	goldie.New(t).Assert(t, "wait", []byte(out.String()))
}
