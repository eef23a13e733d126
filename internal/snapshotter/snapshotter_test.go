package snapshotter_test

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
	"github.com/lagoonkeel/lagoonkeel/internal/keyer"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/snapshotter"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

var errDown = errors.New("down")

// manifestOf returns a manifest of the given version and number of teams.
func manifestOf(t *testing.T, v manifester.Version, teams int) *manifester.Manifest {
	t.Helper()
	list := make([]*manifester.Team, 0, teams)
	for i := range teams {
		list = append(list, manifester.NewTeam(fmt.Sprintf("team-%05d", i), 10, 5, 1, nil))
	}
	m, err := manifester.Restore(v, nil, list, nil)
	if err != nil {
		t.Fatal(err)
	}

	return m
}

// records returns the records of a snapshot.
func records(t *testing.T, id snapshotter.ID, m *manifester.Manifest, next recorder.Offset) [][]byte {
	t.Helper()
	var list [][]byte
	for _, c := range snapshotter.Split(id, m, next) {
		data, err := encoder.Chunk(c)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, data)
	}

	return list
}

// fakeLog is a log that holds only the snapshots stream.
type fakeLog struct {
	mu      sync.Mutex
	first   recorder.Offset
	records [][]byte
	// failures is the number of appends that fail.
	failures int
}

// Append implements logAppender.
func (l *fakeLog) Append(_ context.Context, s recorder.Stream, data []byte) (recorder.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failures > 0 {
		l.failures--

		return 0, recorder.NewUnavailableError(s, true, errDown)
	}
	l.records = append(l.records, data)

	return recorder.Offset(len(l.records) - 1), nil
}

// Read implements logReader; it returns at most two records.
func (l *fakeLog) Read(_ context.Context, _ recorder.Stream, from recorder.Offset, _ time.Duration) (recorder.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < l.first {
		return recorder.Batch{}, recorder.NewExpiredError(from, l.first)
	}
	var list []recorder.Record
	for o := from; int(o) < len(l.records) && len(list) < 2; o++ {
		list = append(list, recorder.NewRecord(o, l.records[o]))
	}

	return recorder.NewBatch(list, l.first, recorder.Offset(len(l.records))), nil
}

func (l *fakeLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return len(l.records)
}

// TestNewest compares with testdata/newest.golden what is loaded from streams with
// missing, repeated, interleaved, expired and corrupt chunks.
func TestNewest(t *testing.T) {
	older := records(t, "older", manifestOf(t, 3, 5000), 4)
	newer := records(t, "newer", manifestOf(t, 7, 4100), 9)
	corrupt := strings.Replace(string(newer[1]), "team-0", "team-X", 1)
	join := func(parts ...[][]byte) [][]byte {
		var all [][]byte
		for _, p := range parts {
			all = append(all, p...)
		}

		return all
	}
	var out strings.Builder
	for _, c := range []struct {
		name    string
		first   recorder.Offset
		records [][]byte
	}{
		{"empty", 0, nil},
		{"one", 0, older},
		{"two", 0, join(older, newer)},
		{"two, the older written last", 0, join(newer, older)},
		{"the newer lacks its last chunk", 0, join(older, newer[:2])},
		{"the newer lacks its middle chunk", 0, join(older, newer[:1], newer[2:])},
		{"the newer has a chunk twice", 0, join(older, newer[:2], newer[1:])},
		{"the newer has a corrupt chunk", 0, join(older, newer[:1], [][]byte{[]byte(corrupt)}, newer[2:])},
		{"interleaved", 0, join(older[:1], newer[:1], older[1:2], newer[1:2], older[2:], newer[2:])},
		{"the first chunk of the newer has expired", 1, join(newer, older)},
		{"all chunks of the older and the first of the newer have expired", 4, join(older, newer)},
		{"undecodable records in between", 0, join(newer[:1], [][]byte{[]byte("nonsense"), []byte("{}")}, newer[1:])},
	} {
		l := &fakeLog{
			first:   c.first,
			records: c.records,
		}
		m, next, err := snapshotter.NewLoader(l, decoder.Chunk).Newest(t.Context())
		if err != nil {
			fmt.Fprintf(&out, "%s: %v\n", c.name, err)

			continue
		}
		fmt.Fprintf(&out, "%s: version %d, next %d, %d teams\n", c.name, m.Version(), next, len(m.Teams()))
	}
	goldie.New(t).Assert(t, "newest", []byte(out.String()))
}

// TestPolicy compares with testdata/policy.golden when a snapshot is due.
func TestPolicy(t *testing.T) {
	p := snapshotter.NewPolicy(time.Hour)
	var out strings.Builder
	for _, c := range []struct {
		at       time.Duration
		isWriter bool
		next     recorder.Offset
		wrote    bool
		first    recorder.Offset
	}{
		{0, true, 0, false, 0},                               // becomes the writer
		{6 * time.Second, true, 0, false, 0},                 // the log has no records
		{7 * time.Second, true, 1, true, 0},                  // the first snapshot
		{8 * time.Second, true, 2, false, 0},                 // the snapshot is new
		{10 * time.Minute, true, 256, false, 0},              // 255 records since the snapshot
		{11 * time.Minute, true, 257, true, 0},               // 256 records (recordsPerSnapshot)
		{25 * time.Minute, true, 257, false, 0},              // the snapshot is 14 minutes old
		{26 * time.Minute, true, 257, true, 0},               // 15 minutes, a quarter of the retention
		{27 * time.Minute, false, 900, false, 0},             // another VM is the writer
		{28 * time.Minute, true, 900, false, 0},              // the writer again, for less than settleTime
		{28*time.Minute + 5*time.Second, true, 900, true, 0}, // for settleTime
		{29 * time.Minute, true, 910, false, 900},            // no record after the snapshot has expired
		{30 * time.Minute, true, 910, false, 905},            // records after the snapshot have expired
	} {
		due := p.Due(timer.Instant(c.at), c.isWriter, c.first, c.next)
		fmt.Fprintf(&out, "%8v writer=%-5v first=%-3d next=%-3d due=%v\n", c.at, c.isWriter, c.first, c.next, due)
		if c.wrote {
			p.Wrote(timer.Instant(c.at), c.next)
		}
	}
	goldie.New(t).Assert(t, "policy", []byte(out.String()))
}

// fakeState is the state of one VM.
type fakeState struct {
	manifest *manifester.Manifest
	peers    []member.VM
}

// State implements stateSource; the next offset is always 9.
func (s *fakeState) State() (*manifester.Manifest, recorder.Offset) { return s.manifest, 9 }

// First implements stateSource.
func (s *fakeState) First() recorder.Offset { return 0 }

// Ready implements stateSource.
func (s *fakeState) Ready() bool { return true }

// View implements viewer.
func (s *fakeState) View() *member.View {
	return member.NewView(member.NewVM("vm-2", 0, "", ""), s.peers)
}

// runSnapshotter runs a snapshotter for the duration d of a manual clock, or
// until the log holds want records if want is above 0.
func runSnapshotter(t *testing.T, l *fakeLog, s *fakeState, d time.Duration, want int) {
	t.Helper()
	timers := timer.NewManual(0)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	w := snapshotter.New(l, encoder.Chunk, s, s, timers, time.Hour, logger.Discard())
	go func() { done <- w.Run(ctx) }()
	for range d / time.Second {
		timers.Advance(time.Second)
		time.Sleep(2 * time.Millisecond)
		if want > 0 && l.count() >= want {
			break
		}
	}
	cancel()
	<-done
}

// TestWriter checks that a VM that is the writer writes a snapshot that can be
// read back, also after a failed append, and that another VM writes none.
func TestWriter(t *testing.T) {
	s := &fakeState{
		manifest: manifestOf(t, 7, 4100),
	}
	l := &fakeLog{
		failures: 1,
	}
	runSnapshotter(t, l, s, time.Hour, 3)
	m, next, err := snapshotter.NewLoader(l, decoder.Chunk).Newest(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if m.Version() != 7 || next != 9 || len(m.Teams()) != 4100 {
		t.Errorf("read back version %d, next %d, %d teams", m.Version(), next, len(m.Teams()))
	}
	s.peers = []member.VM{member.NewVM("vm-1", 0, "", "")}
	idle := &fakeLog{}
	runSnapshotter(t, idle, s, time.Minute, 0)
	if n := idle.count(); n != 0 {
		t.Errorf("a VM that is not the writer wrote %d records", n)
	}
}

// BenchmarkSnapshot reports the size of a snapshot and the time to encode,
// decode and assemble it.
func BenchmarkSnapshot(b *testing.B) {
	for _, teams := range []int{16, 1_000, 930_000} {
		list := make([]*manifester.Team, 0, teams)
		for i := range teams {
			list = append(list, manifester.NewTeam(fmt.Sprintf("team-%d", i), 100, 20, 1, []string{keyer.Digest(fmt.Sprint(i))}))
		}
		m, err := manifester.Restore(0, nil, list, nil)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			size := 0
			for b.Loop() {
				size = 0
				var collector snapshotter.Collector
				for _, c := range snapshotter.Split("s", m, 1) {
					data, err := encoder.Chunk(c)
					if err != nil {
						b.Fatal(err)
					}
					size += len(data)
					back, err := decoder.Chunk(data)
					if err != nil {
						b.Fatal(err)
					}
					collector.Add(back)
				}
				if _, _, err := collector.Manifest(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
