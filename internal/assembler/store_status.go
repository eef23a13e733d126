package assembler

import (
	"encoding/json"
	"net/http"
)

// storeStatusJSON is the status of a VM on the platform's store.
type storeStatusJSON struct {
	ID      string `json:"id"`
	Version int64  `json:"version"`
	Ready   bool   `json:"ready"`
	// Heard and Known count VMs, this one included.
	Heard int64 `json:"heard"`
	Known int64 `json:"known"`
	// Targets counts all listed targets, and EvacuatedTargets those of them that are in
	// evacuated data centres.
	Targets          int `json:"targets"`
	EvacuatedTargets int `json:"evacuatedTargets"`
	// Evacuated lists the evacuated data centres in the order of their names.
	Evacuated []string `json:"evacuated"`
}

func (v *StoreVM) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(storeStatusJSON{ // The client may have disconnected.
		ID:               v.settings.ID(),
		Version:          int64(v.adopter.Manifest().Version()),
		Ready:            v.Ready(),
		Heard:            v.heard(),
		Known:            v.known(),
		Targets:          v.registrar.Size(),
		EvacuatedTargets: v.registrar.EvacuatedCount(),
		Evacuated:        v.evacuator.DataCentres(),
	})
}
