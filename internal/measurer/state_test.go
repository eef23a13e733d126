package measurer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/picker"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// targetsPerService is the usual number of targets of a service at the fleet size for
// which the system is designed.
const targetsPerService = 36

// staticState provides a state that does not change.
type staticState struct {
	manifest *manifester.Manifest
	view     *member.View
	statuses *ejector.TargetStatuses
}

func (s *staticState) Manifest() *manifester.Manifest    { return s.manifest }
func (s *staticState) View() *member.View                { return s.view }
func (s *staticState) Statuses() *ejector.TargetStatuses { return s.statuses }

// stateRow holds the memory that one VM needs per target, and the time of one rebuild
// of the table.
type stateRow struct {
	VMs           int
	Targets       int
	ManifestBytes float64
	PickerBytes   float64
	RebuildMicros int64
}

// TestMeasureState measures the memory for the state of targets on one VM, and the time
// of one rebuild of the picker's tables, for several numbers of targets and VMs.
func TestMeasureState(t *testing.T) {
	file := measureFile(t, "state.json")
	for _, vms := range []int{18, 200} {
		for _, services := range []int{3, 28, 278, 2600} {
			writeLine(t, file, measureState(t, vms, services))
		}
	}
}

func measureState(t *testing.T, vms, services int) stateRow {
	t.Helper()
	before := liveBytes()
	m, err := manifester.Restore(0, fleetServices(services), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	withManifest := liveBytes()
	peers := make([]member.VM, 0, vms-1)
	for i := 1; i < vms; i++ {
		peers = append(peers, member.NewVM(member.ID(fmt.Sprintf("vm-%04d", i)), member.Incarnation(i), "127.0.0.1:1", dataCentreOf(i)))
	}
	s := &staticState{
		manifest: m,
		view:     member.NewView(member.NewVM("vm-0000", 0, "127.0.0.1:1", dataCentreOf(0)), peers),
		statuses: &ejector.TargetStatuses{},
	}
	b := picker.New(s, s, s, ejector.NewRecorder(), timer.NewManual(0), nil)
	b.Rebuild()
	start := time.Now()
	b.Rebuild()
	took := time.Since(start)
	withPicker := liveBytes()
	n := float64(services * targetsPerService)
	runtime.KeepAlive(b)

	return stateRow{
		VMs:           vms,
		Targets:       services * targetsPerService,
		ManifestBytes: float64(withManifest-before) / n,
		PickerBytes:   float64(withPicker-withManifest) / n,
		RebuildMicros: took.Microseconds(),
	}
}

func dataCentreOf(i int) string { return fmt.Sprintf("dc-%d", i%3) }

func fleetServices(n int) []*manifester.Service {
	list := make([]*manifester.Service, 0, n)
	for s := range n {
		targets := make([]*manifester.Target, 0, targetsPerService)
		for i := range targetsPerService {
			targets = append(targets, manifester.NewTarget(manifester.TargetSpec{
				Name:        fmt.Sprintf("t-%d", i),
				Address:     fmt.Sprintf("10.%d.%d.%d:8080", s/250, s%250, i),
				DataCentre:  dataCentreOf(i),
				Slots:       4,
				Connections: 400,
			}))
		}
		list = append(list, manifester.NewService(fmt.Sprintf("s-%d", s), manifester.ClassLookup, targetsPerService, targets))
	}

	return list
}

// liveBytes returns the size of the heap objects after garbage collection.
func liveBytes() int64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&s)

	return int64(s.HeapAlloc)
}
