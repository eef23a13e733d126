package prover

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

// measureDir returns the directory for the results of measurements, and skips the
// test if LAGOONKEEL_MEASURE does not name one.
func measureDir(t *testing.T) string {
	t.Helper()
	dir := os.Getenv("LAGOONKEEL_MEASURE")
	if dir == "" {
		t.Skip("a measurement, not a test: run `make measure`")
	}

	return dir
}

// writeMeasurement writes the result of a measurement as JSON.
func writeMeasurement(t *testing.T, dir, name string, v any) {
	t.Helper()
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s: %s", name, text)
	if err := os.WriteFile(filepath.Join(dir, name+".json"), text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// usage is the resource usage of a process.
type usage struct {
	// CPU is the processor time since the start.
	CPU time.Duration
	// Resident is the current resident memory in bytes.
	Resident int64
}

// clockTick is the unit of processor time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// readUsage reads the resource usage of the process from /proc/PID/stat.
func (p *process) readUsage(t *testing.T) usage {
	t.Helper()
	p.mu.Lock()
	pid := strconv.Itoa(p.cmd.Process.Pid)
	p.mu.Unlock()
	data, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		t.Fatal(err)
	}
	// The fields are counted from the end of the command name, which may hold spaces.
	f := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	const user, system, resident = 11, 12, 21
	ticks := 0
	for _, i := range []int{user, system} {
		n, err := strconv.Atoi(f[i])
		if err != nil {
			t.Fatal(err)
		}
		ticks += n
	}
	pages, err := strconv.ParseInt(f[resident], 10, 64)
	if err != nil {
		t.Fatal(err)
	}

	return usage{
		CPU:      time.Duration(ticks) * clockTick,
		Resident: pages * int64(syscall.Getpagesize()),
	}
}

// latencyRow is the result for one path and one rate in the measurement of the
// added latency.
type latencyRow struct {
	Path             string
	Rate             float64
	Answered         int
	P50Micros        int64
	P99Micros        int64
	CPUMicrosPerCall float64
}

// TestMeasureAddedLatency sends the same load directly to the stand-in upstreams,
// through one VM with a key, and through one VM on an open route, at several rates.
func TestMeasureAddedLatency(t *testing.T) {
	dir := measureDir(t)
	const seconds = 5
	f := startFleet(t, fleetSpec{
		vms: 3,
		upstreams: map[string]int{
			"bookings":  1,
			"fieldbook": 8,
		},
	})
	f.mustPublish(strings.ReplaceAll(strings.ReplaceAll(bookingManifest(f), `"rate": 500`, `"rate": 100000`), `"burst": 100`, `"burst": 10000`))
	f.waitReady()
	time.Sleep(3 * time.Second) // Wait until the leases and the borrowed tokens are stable.
	direct := make([]string, 0, len(f.targets["fieldbook"]))
	for _, u := range f.targets["fieldbook"] {
		direct = append(direct, u.address)
	}
	var rows []latencyRow
	for _, rate := range []float64{200, 1000, 2000, 3000} {
		for _, p := range []struct {
			name    string
			entries []string
		}{
			{name: "direct", entries: direct},
			{name: "through one VM", entries: []string{f.vms[0].callersAddr}},
			{name: "through one VM, open route", entries: []string{f.vms[0].callersAddr}},
		} {
			path, key := "/species/amanita", guidesKey
			if strings.HasSuffix(p.name, "open route") {
				path, key = "/trails", ""
			}
			before := f.vms[0].readUsage(t)
			r, err := standin.NewCaller(standin.Plan{
				Entries:  p.entries,
				Method:   "GET",
				Path:     path,
				Key:      key,
				Requests: int(rate * seconds),
				Workers:  64,
				Rate:     rate,
			}).Run(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			after := f.vms[0].readUsage(t)
			rows = append(rows, latencyRow{
				Path:             p.name,
				Rate:             rate,
				Answered:         r.Statuses["200"],
				P50Micros:        r.P50Micros,
				P99Micros:        r.P99Micros,
				CPUMicrosPerCall: float64((after.CPU - before.CPU).Microseconds()) / (rate * seconds),
			})
		}
	}
	writeMeasurement(t, dir, "added-latency", rows)
}
