package prover

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// trailsManifest declares one service on an open route, so that proofs about
// targets depend on no team's rate. Targets whose name is in leaving are
// declared as leaving.
func trailsManifest(f *fleet, floor int, leaving ...string) string {
	targets := "["
	for i, u := range f.targets["fieldbook"] {
		if i > 0 {
			targets += ", "
		}
		out := false
		for _, name := range leaving {
			out = out || name == u.name
		}
		targets += fmt.Sprintf(`{"name": %q, "address": %q, "dataCentre": "kandy", "slots": 4, "leaving": %v}`, u.name, u.address, out)
	}

	return fmt.Sprintf(`{
  "services": [{"name": "fieldbook", "class": "lookup", "floor": %d, "targets": %s]}],
  "teams": [],
  "routes": [{"name": "trails", "method": "GET", "prefix": "/trails", "service": "fieldbook", "idempotent": true, "open": true, "timeoutMs": 2000}]}`,
		floor, targets)
}

// tableTarget is one target in a VM's table.
type tableTarget struct {
	Name    string `json:"name"`
	Slots   int    `json:"slots"`
	Grade   string `json:"grade"`
	Cold    bool   `json:"cold"`
	Leaving bool   `json:"leaving"`
}

// tableService is one service in a VM's table.
type tableService struct {
	Service string        `json:"service"`
	Floor   int           `json:"floor"`
	Targets []tableTarget `json:"targets"`
}

// table returns the VM's table of the only service.
func (v *vm) table() (tableService, error) {
	var list []tableService
	if err := getJSON("http://"+v.operators+"/targets", &list); err != nil {
		return tableService{}, err
	}
	if len(list) != 1 {
		return tableService{}, fmt.Errorf("%d services in the table", len(list))
	}

	return list[0], nil
}

// healthy returns the capacity in slots that is left, and what would be left
// without any ejection.
func (s tableService) healthy() (left, most int) {
	for _, t := range s.Targets {
		if t.Leaving || t.Cold {
			continue
		}
		most += t.Slots
		switch t.Grade {
		case "full":
			left += t.Slots
		case "reduced":
			left += t.Slots / 2
		}
	}

	return left, most
}

// grade returns the grade of a target, or "".
func (s tableService) grade(name string) string {
	for _, t := range s.Targets {
		if t.Name == name {
			return t.Grade
		}
	}

	return ""
}

// leaves reports whether the table shows the target as leaving.
func (s tableService) leaves(name string) bool {
	for _, t := range s.Targets {
		if t.Name == name {
			return t.Leaving
		}
	}

	return false
}

// trailsLoad sends requests on the open route through every VM in turn until
// the returned function is called, which returns what came of them.
func trailsLoad(t *testing.T, f *fleet, workers int, pause time.Duration) func() *tally {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	sums := &tally{
		counts: map[string]int{},
	}
	c := newClient(t)
	var all sync.WaitGroup
	for w := range workers {
		all.Go(func() {
			for n := w; ctx.Err() == nil; n++ {
				sums.add(send(c, f.vms[n%len(f.vms)].callers, request{method: http.MethodGet, path: "/trails"}).String())
				time.Sleep(pause)
			}
		})
	}
	stop := func() *tally {
		cancel()
		all.Wait()

		return sums
	}
	t.Cleanup(func() { stop() })

	return stop
}
