package prover

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

// stopGrace is how long a stopping VM continues to serve in these tests.
const stopGrace = time.Second

// fleetSpec selects what startFleet starts.
type fleetSpec struct {
	vms int
	// upstreams maps each service to its number of targets.
	upstreams map[string]int
	// traced makes each VM export every trace span to a file.
	traced bool
}

// fleet is a running fleet with its platform stand-ins and upstreams, each in a
// process of its own.
type fleet struct {
	t       *testing.T
	logAddr string
	log     *process
	vmsAddr string
	vms     []*vm
	targets map[string][]*upstreamProcess
	// leaving holds the addresses of upstreams that the VM list shows as leaving.
	leaving map[string]bool
	traced  bool
	// unlisted holds the ids of VMs that the VM list leaves out.
	unlisted map[string]bool
}

// vm is the process of one VM, with a relay in front of its peer listener and
// another between the VM and the log.
type vm struct {
	*process
	id            string
	callersAddr   string
	peersAddr     string
	operatorsAddr string
	// spansPath is the file of exported spans, or "" if the fleet is not traced.
	spansPath string
	// peerRelay carries every connection of other VMs to the peer listener.
	peerRelay *relay
	// logRelay carries every connection of this VM to the log.
	logRelay *relay
}

// upstreamProcess is the process of one target.
type upstreamProcess struct {
	*process
	name    string
	address string
}

// fleetSemaphore bounds the fleets that run at once, so that parallel tests do
// not starve each other of processor time.
var fleetSemaphore = make(chan struct{}, 4)

// startFleet starts the platform stand-ins, the upstreams and the VMs.
func startFleet(t *testing.T, s fleetSpec) *fleet {
	t.Helper()
	fleetSemaphore <- struct{}{}
	t.Cleanup(func() { <-fleetSemaphore })
	f := &fleet{
		t:        t,
		logAddr:  freeAddress(t),
		vmsAddr:  freeAddress(t),
		targets:  map[string][]*upstreamProcess{},
		leaving:  map[string]bool{},
		unlisted: map[string]bool{},
		traced:   s.traced,
	}
	f.log = startProcess(t, "log", "lagoonkeel-standin", "log", "--listen", f.logAddr)
	startProcess(t, "vms", "lagoonkeel-standin", "vms", "--listen", f.vmsAddr)
	for service, n := range s.upstreams {
		for i := range n {
			f.startUpstream(service, fmt.Sprintf("%s-%d", service, i+1))
		}
	}
	waitFor(t, "the log and the VM list answer", func() bool {
		var v any

		return getJSON("http://"+f.logAddr+"/streams/config/records?from=0", &v) == nil &&
			getJSON("http://"+f.vmsAddr+"/vms", &v) == nil
	})
	for range s.vms {
		f.addVM()
	}

	return f
}

// waitReady waits until the operators' listener of every VM reports it as ready.
func (f *fleet) waitReady() {
	f.t.Helper()
	for _, v := range f.vms {
		waitFor(f.t, v.id+" is ready", v.isReady)
	}
}

func (f *fleet) startUpstream(service, name string) {
	f.t.Helper()
	u := &upstreamProcess{
		name:    name,
		address: freeAddress(f.t),
	}
	u.process = startProcess(f.t, name, "lagoonkeel-standin", "upstream", "--listen", u.address, "--name", name, "--print-runs")
	waitFor(f.t, name+" answers", func() bool {
		var v any

		return getJSON("http://"+u.address+"/_standin/runs", &v) == nil
	})
	f.targets[service] = append(f.targets[service], u)
}

// addVM starts one more VM and adds it to the platform's VM list.
func (f *fleet) addVM() *vm {
	f.t.Helper()
	v := &vm{
		id:            "vm-" + strconv.Itoa(len(f.vms)+1),
		callersAddr:   freeAddress(f.t),
		peersAddr:     freeAddress(f.t),
		operatorsAddr: freeAddress(f.t),
	}
	v.peerRelay = startRelay(f.t, v.peersAddr)
	v.logRelay = startRelay(f.t, f.logAddr)
	v.process = startProcess(f.t, v.id, "lagoonkeel", "serve", f.settings(v))
	f.vms = append(f.vms, v)
	f.updateList()

	return v
}

func (f *fleet) settings(v *vm) string {
	f.t.Helper()
	traces := map[string]any{}
	if f.traced {
		v.spansPath = filepath.Join(f.t.TempDir(), v.id+"-spans.jsonl")
		traces = map[string]any{
			"exporter": "jsonl",
			"endpoint": v.spansPath,
			"sample":   1,
		}
	}
	text, err := json.Marshal(map[string]any{
		"traces":      traces,
		"id":          v.id,
		"dataCentre":  "kandy",
		"region":      "central-hills",
		"stopGraceMs": stopGrace.Milliseconds(),
		"listen": map[string]string{
			"callers":         v.callersAddr,
			"peers":           v.peersAddr,
			"peersAdvertised": v.peerRelay.address(),
			"operators":       v.operatorsAddr,
		},
		"platform": map[string]string{
			"log": "http://" + v.logRelay.address(),
			"vms": "http://" + f.vmsAddr,
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(f.t.TempDir(), v.id+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		f.t.Fatal(err)
	}

	return path
}

// updateList replaces the platform's VM list with the current VMs and upstreams.
func (f *fleet) updateList() {
	f.t.Helper()
	entries := []standin.VMEntry{}
	for _, v := range f.vms {
		if f.unlisted[v.id] {
			continue
		}
		entries = append(entries, standin.VMEntry{
			ID:         v.id,
			Role:       "entry",
			Address:    v.peerRelay.address(),
			DataCentre: "kandy",
		})
	}
	for _, us := range f.targets {
		for _, u := range us {
			entries = append(entries, standin.VMEntry{
				ID:         u.name,
				Role:       "upstream",
				Address:    u.address,
				DataCentre: "kandy",
				Leaving:    f.leaving[u.address],
			})
		}
	}
	putJSON(f.t, "http://"+f.vmsAddr+"/vms", entries)
}

// setLogFaults replaces the faults that the log shows to all of its clients.
func (f *fleet) setLogFaults(l standin.LogFaults) {
	f.t.Helper()
	putJSON(f.t, "http://"+f.logAddr+"/faults", l)
}

// setFaults replaces the faults of an upstream.
func (u *upstreamProcess) setFaults(t *testing.T, uf standin.UpstreamFaults) {
	t.Helper()
	putJSON(t, "http://"+u.address+"/_standin/faults", uf)
}

// targetsJSON returns the targets of a service as JSON for a manifest.
func (f *fleet) targetsJSON(service string) string {
	list := make([]string, 0, len(f.targets[service]))
	for _, u := range f.targets[service] {
		list = append(list, fmt.Sprintf(`{"name": %q, "address": %q, "dataCentre": "kandy"}`, u.name, u.address))
	}

	return "[" + strings.Join(list, ", ") + "]"
}

// publish publishes a manifest with the command `lagoonkeel publish`, and returns
// its exit code and output.
func (f *fleet) publish(manifest string) (code int, output string) {
	f.t.Helper()

	return command(f.t, "lagoonkeel", "publish", "--log", "http://"+f.logAddr, f.writeFile("manifest.json", manifest))
}

// mustPublish publishes a manifest and waits until it is in force on every VM.
func (f *fleet) mustPublish(manifest string) {
	f.t.Helper()
	code, output := f.publish(manifest)
	if code != 0 {
		f.t.Fatalf("publish exited with %d: %s", code, output)
	}
	var version int64
	if _, err := fmt.Sscanf(output, "version %d", &version); err != nil {
		f.t.Fatalf("publish printed %q", output)
	}
	for _, v := range f.vms {
		waitFor(f.t, fmt.Sprintf("version %d is in force on %s", version, v.id), func() bool {
			s, err := v.status()

			return err == nil && s.Version >= version
		})
	}
}

func (f *fleet) writeFile(name, text string) string {
	f.t.Helper()
	path := filepath.Join(f.t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}

	return path
}

// runs returns the requests that the targets of a service have recorded as run.
func (f *fleet) runs(service string) []standin.Run {
	f.t.Helper()
	var all []standin.Run
	for _, u := range f.targets[service] {
		all = append(all, runsOf(f.t, u.address)...)
	}

	return all
}

// vmStatus holds the fields of a VM's status page that the tests read.
type vmStatus struct {
	Version int64 `json:"version"`
	Next    int64 `json:"next"`
	Ready   bool  `json:"ready"`
	Members int   `json:"members"`
}

func (v *vm) status() (vmStatus, error) {
	var s vmStatus
	err := getJSON("http://"+v.operatorsAddr+"/status", &s)

	return s, err
}

func (v *vm) isReady() bool {
	resp, err := http.Get("http://" + v.operatorsAddr + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()

	return resp.StatusCode == http.StatusOK
}
