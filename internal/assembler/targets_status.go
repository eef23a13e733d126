package assembler

import (
	"encoding/json"
	"net/http"

	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
)

type serviceJSON struct {
	Service  string       `json:"service"`
	Floor    int          `json:"floor"`
	Healthy  int          `json:"healthy"`
	Capacity int          `json:"capacity"`
	Targets  []targetJSON `json:"targets"`
}

type targetJSON struct {
	Name     string  `json:"name"`
	Slots    int     `json:"slots"`
	Grade    string  `json:"grade"`
	Wanted   string  `json:"wanted"`
	Weight   float64 `json:"weight"`
	Cold     bool    `json:"cold"`
	Leaving  bool    `json:"leaving"`
	PathOnly bool    `json:"pathOnly"`
	Requests uint64  `json:"requests"`
	Failed   uint64  `json:"failed"`
	Slow     uint64  `json:"slow"`
}

// serveTargets answers with the status of every target, as this VM has decided it.
func (v *VM) serveTargets(w http.ResponseWriter, _ *http.Request) {
	statuses := v.targets.ejector.Statuses()
	services := v.follower.Manifest().Services()
	list := make([]serviceJSON, 0, len(services))
	for _, s := range services {
		entry := serviceJSON{
			Service:  s.Name(),
			Floor:    s.Floor(),
			Healthy:  statuses.HealthySlots(s.Name()),
			Capacity: v.targets.balancer.Capacity(s.Name()),
			Targets:  []targetJSON{},
		}
		for _, t := range s.Targets() {
			if status := statuses.Status(ejector.KeyOf(s, t)); status != nil {
				entry.Targets = append(entry.Targets, targetStatus(status, t.Slots()))
			}
		}
		list = append(list, entry)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // The client may have disconnected.
}

func targetStatus(s *ejector.TargetStatus, slots int) targetJSON {
	return targetJSON{
		Name:     s.Key().Name(),
		Slots:    slots,
		Grade:    s.Grade().String(),
		Wanted:   s.Wanted().String(),
		Weight:   s.Weight(),
		Cold:     s.WarmingUp(),
		Leaving:  s.Leaving(),
		PathOnly: s.PathOnly(),
		Requests: s.Evidence().Requests(),
		Failed:   s.Evidence().Failed(),
		Slow:     s.Evidence().Slow(),
	}
}
