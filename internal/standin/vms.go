package standin

import (
	"net/http"
	"sync"
	"time"
)

// VMEntry is one entry of the VM list.
type VMEntry struct {
	ID         string `json:"id"`
	Role       string `json:"role"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Leaving    bool   `json:"leaving"`
}

// version is a VM list with the time at which it was set.
type version struct {
	since time.Time
	list  []VMEntry
}

// VMs is a stand-in for the platform's VM list, which readers may see with a lag.
type VMs struct {
	mu sync.Mutex
	// versions is never empty, and is ordered by time.
	versions []version
	lag      time.Duration
}

// NewVMs returns an empty VM list without lag.
func NewVMs() *VMs {
	return &VMs{
		versions: []version{
			{
				list: []VMEntry{},
			},
		},
	}
}

// Handler returns the HTTP interface: GET and PUT /vms, PUT /faults.
func (v *VMs) Handler() Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", v.get)
	mux.HandleFunc("PUT /vms", v.put)
	mux.HandleFunc("PUT /faults", v.setFaults)

	return mux
}

// Set replaces the VM list; readers see the new list once the lag has passed.
func (v *VMs) Set(list []VMEntry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.versions = append(v.versions, version{
		since: time.Now(),
		list:  list,
	})
}

func (v *VMs) get(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, v.visible(time.Now()))
}

// visible returns the newest list that is at least as old as the lag, or else the oldest
// one, and removes those before it.
func (v *VMs) visible(now time.Time) []VMEntry {
	v.mu.Lock()
	defer v.mu.Unlock()
	for len(v.versions) > 1 && now.Sub(v.versions[1].since) >= v.lag {
		v.versions = v.versions[1:]
	}

	return v.versions[0].list
}

func (v *VMs) put(w http.ResponseWriter, r *http.Request) {
	var list []VMEntry
	if readJSON(w, r, &list) {
		v.Set(list)
	}
}

// VMsFaults are the faults of the VM list, as set by PUT /faults.
type VMsFaults struct {
	LagMs int `json:"lagMs"`
}

func (v *VMs) setFaults(w http.ResponseWriter, r *http.Request) {
	var f VMsFaults
	if !readJSON(w, r, &f) {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lag = time.Duration(f.LagMs) * time.Millisecond
}
