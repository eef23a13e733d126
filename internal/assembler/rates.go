package assembler

import (
	"encoding/json"
	"net/http"

	"github.com/lagoonkeel/lagoonkeel/internal/borrower"
	"github.com/lagoonkeel/lagoonkeel/internal/granter"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/messenger"
)

// addRates builds both sides of the fleet-wide rate limits: the granter, which hands
// out the tokens of the slots that this VM holds, and the borrower, which admits
// callers' requests with tokens that it gets from the holders of slots.
func addRates(v *VM) error {
	g := granter.New(v.member, v.follower, v.timers)
	if err := v.server.RegisterRates(g); err != nil {
		return err
	}
	client := messenger.NewRateClient(member.ID(v.settings.ID()), g, v.pool)
	v.borrower = borrower.New(v.timers, v.member, client)
	v.controllers = append(v.controllers, g, v.borrower)
	v.meter.RegisterGauge("rates.calls", v.borrower.Calls)

	return nil
}

// slotJSON describes one slot of a team's rate limit.
type slotJSON struct {
	Slot int `json:"slot"`
	// Holder is the VM that should hold the slot, as this VM sees it.
	Holder string `json:"holder"`
	// Active is true while this VM may grant tokens of the slot.
	Active bool `json:"active"`
}

// serveRates answers with the slots of the team that is named in the query.
func (v *VM) serveRates(w http.ResponseWriter, r *http.Request) {
	team, ok := v.follower.Manifest().Team(r.URL.Query().Get("team"))
	if !ok {
		http.Error(w, "no such team; name one with ?team=", http.StatusNotFound)

		return
	}
	slots := make([]slotJSON, granter.SlotLimitsOf(team).Slots())
	for i := range slots {
		at := granter.SlotRange(team.Name(), i)
		_, active := v.member.Active(at)
		slots[i] = slotJSON{
			Slot:   i,
			Holder: string(v.member.View().Holder(at).ID()),
			Active: active,
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(slots) // The client may have disconnected.
}
