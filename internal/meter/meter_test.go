package meter_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/meter"
)

// TestWriteText compares the metrics that are not 0 with the golden file, before and
// after a route and a target are removed.
func TestWriteText(t *testing.T) {
	m := meter.New()
	m.Answered(3 * time.Millisecond)
	m.Answered(time.Minute)
	m.Refused(handler.CodeNoRoute, time.Millisecond)
	for _, took := range []time.Duration{3 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond} {
		m.Routed("r-seats", took)
	}
	m.Routed("r-notes", 20*time.Millisecond)
	m.Attempted("i-1", 2*time.Millisecond)
	m.Attempted("i-2", 11*time.Second)
	c := metrics.NewCounter()
	c.Inc(7)
	m.RegisterCounter("store.calls", c)
	m.RegisterGauge("targets.listed", func() int64 { return 2 })
	var out bytes.Buffer
	write(t, &out, m)
	out.WriteString("after the removal of r-notes and i-2\n")
	m.Keep(func(route string) bool { return route == "r-seats" }, func(target string) bool { return target == "i-1" })
	write(t, &out, m)
	goldie.New(t).Assert(t, "text", out.Bytes())
}

// write writes the metrics that are not 0.
func write(t *testing.T, out *bytes.Buffer, m *meter.Meter) {
	t.Helper()
	var text bytes.Buffer
	if err := m.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(text.String()) {
		if !strings.HasSuffix(line, " 0\n") {
			out.WriteString(line)
		}
	}
}

// TestSeriesBounded checks that a family has a bounded number of histograms, that no
// duration is lost beyond it, and that many goroutines may add names at once.
func TestSeriesBounded(t *testing.T) {
	const (
		goroutines = 4
		names      = 2000
		// maxHistograms is the bound maxSeries of the family, and one for the shared histogram.
		maxHistograms = 4096 + 1
	)
	m := meter.New()
	var group sync.WaitGroup
	for g := range goroutines {
		group.Go(func() {
			for i := range names {
				m.Attempted(fmt.Sprintf("i-%d-%d", g, i), time.Millisecond)
			}
		})
	}
	group.Wait()
	var text bytes.Buffer
	if err := m.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	series, total := 0, 0
	for line := range strings.Lines(text.String()) {
		if _, count, ok := strings.Cut(line, "\"} "); ok {
			var n int
			if _, err := fmt.Sscan(count, &n); err != nil {
				t.Fatal(err)
			}
			series++
			total += n
		}
	}
	if series > maxHistograms || total != goroutines*names {
		t.Errorf("got %d histograms with %d attempts, want at most %d with %d", series, total, maxHistograms, goroutines*names)
	}
}
