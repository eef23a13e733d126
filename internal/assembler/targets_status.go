package assembler

import (
	"encoding/json"
	"net/http"

	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
)

type targetsJSON struct {
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

// serveTargets tells operators how this VM grades every target.
func (v *VM) serveTargets(w http.ResponseWriter, _ *http.Request) {
	verdicts := v.targets.ejector.Verdicts()
	services := v.follower.Manifest().Services()
	list := make([]targetsJSON, 0, len(services))
	for _, s := range services {
		entry := targetsJSON{
			Service:  s.Name(),
			Floor:    s.Floor(),
			Healthy:  verdicts.Healthy(s.Name()),
			Capacity: v.targets.balancer.Capacity(s.Name()),
			Targets:  []targetJSON{},
		}
		for _, t := range s.Targets() {
			if standing := verdicts.Standing(ejector.KeyOf(s, t)); standing != nil {
				entry.Targets = append(entry.Targets, targetStatus(standing, t.Slots()))
			}
		}
		list = append(list, entry)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // The operator may have gone.
}

func targetStatus(s *ejector.Standing, slots int) targetJSON {
	return targetJSON{
		Name:     s.Key().Name(),
		Slots:    slots,
		Grade:    s.Grade().String(),
		Wanted:   s.Wanted().String(),
		Weight:   s.Weight(),
		Cold:     s.Cold(),
		Leaving:  s.Leaving(),
		PathOnly: s.Path(),
		Requests: s.Evidence().Requests(),
		Failed:   s.Evidence().Failed(),
		Slow:     s.Evidence().Slow(),
	}
}
