package prover

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// trailsManifest declares one service on an open route, so that no team's rate
// limits the tests of targets. Targets whose name is in leaving are declared as
// leaving.
func trailsManifest(f *fleet, floor int, leaving ...string) string {
	targets := "["
	for i, u := range f.targets["fieldbook"] {
		if i > 0 {
			targets += ", "
		}
		isLeaving := false
		for _, name := range leaving {
			isLeaving = isLeaving || name == u.name
		}
		targets += fmt.Sprintf(`{"name": %q, "address": %q, "dataCentre": "kandy", "slots": 4, "leaving": %v}`, u.name, u.address, isLeaving)
	}

	return fmt.Sprintf(`{
  "services": [{"name": "fieldbook", "class": "lookup", "floor": %d, "targets": %s]}],
  "teams": [],
  "routes": [{"name": "trails", "method": "GET", "prefix": "/trails", "service": "fieldbook", "idempotent": true, "open": true, "timeoutMs": 2000}]}`,
		floor, targets)
}

// tableTarget is one target in a VM's target table.
type tableTarget struct {
	Name    string `json:"name"`
	Slots   int    `json:"slots"`
	Grade   string `json:"grade"`
	Cold    bool   `json:"cold"`
	Leaving bool   `json:"leaving"`
}

// tableService is one service in a VM's target table.
type tableService struct {
	Service string        `json:"service"`
	Floor   int           `json:"floor"`
	Targets []tableTarget `json:"targets"`
}

// targetTable returns the VM's target table, and fails unless it holds exactly
// one service.
func (v *vm) targetTable() (tableService, error) {
	var list []tableService
	if err := getJSON("http://"+v.operatorsAddr+"/targets", &list); err != nil {
		return tableService{}, err
	}
	if len(list) != 1 {
		return tableService{}, fmt.Errorf("%d services in the table", len(list))
	}

	return list[0], nil
}

// capacity returns the capacity in slots that is in service, to which a reduced target
// adds half its slots, and the capacity if no target were ejected or reduced. Cold and
// leaving targets count in neither.
func (s tableService) capacity() (inService, total int) {
	for _, t := range s.Targets {
		if t.Leaving || t.Cold {
			continue
		}
		total += t.Slots
		switch t.Grade {
		case "full":
			inService += t.Slots
		case "reduced":
			inService += t.Slots / 2
		}
	}

	return inService, total
}

// grade returns the grade of a target, or "" if the table lacks the target.
func (s tableService) grade(name string) string {
	for _, t := range s.Targets {
		if t.Name == name {
			return t.Grade
		}
	}

	return ""
}

// isLeaving reports whether the table shows the target as leaving.
func (s tableService) isLeaving(name string) bool {
	for _, t := range s.Targets {
		if t.Name == name {
			return t.Leaving
		}
	}

	return false
}

// startTrailsLoad sends requests on the open route through every VM in turn until
// the returned function is called, which returns the counted answers.
func startTrailsLoad(t *testing.T, f *fleet, workers int, pause time.Duration) func() *tally {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	answers := &tally{
		counts: map[string]int{},
	}
	c := newClient(t)
	var senders sync.WaitGroup
	for w := range workers {
		senders.Go(func() {
			for n := w; ctx.Err() == nil; n++ {
				answers.add(send(c, f.vms[n%len(f.vms)].callersAddr, request{method: http.MethodGet, path: "/trails"}).String())
				time.Sleep(pause)
			}
		})
	}
	stop := func() *tally {
		cancel()
		senders.Wait()

		return answers
	}
	t.Cleanup(func() { stop() })

	return stop
}
