// Package encoder encodes documents, log records and refusals as JSON, and the reports
// that VMs send each other in a binary format. It declares the JSON types, so that the
// domain types carry no tags.
package encoder

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

type targetJSON struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	DataCentre  string `json:"dataCentre"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving,omitempty"`
}

type serviceJSON struct {
	Name    string       `json:"name"`
	Class   string       `json:"class"`
	Floor   int          `json:"floor"`
	Targets []targetJSON `json:"targets"`
}

type teamJSON struct {
	Name   string   `json:"name"`
	Rate   float64  `json:"rate"`
	Burst  float64  `json:"burst"`
	Weight float64  `json:"weight"`
	Keys   []string `json:"keys,omitempty"`
}

type routeJSON struct {
	Name       string `json:"name"`
	Method     string `json:"method"`
	Prefix     string `json:"prefix"`
	Service    string `json:"service"`
	Open       bool   `json:"open,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	TimeoutMs  int64  `json:"timeoutMs"`
}

type manifestJSON struct {
	Services []serviceJSON `json:"services"`
	Teams    []teamJSON    `json:"teams"`
	Routes   []routeJSON   `json:"routes"`
}

type changeJSON struct {
	ID             string        `json:"id"`
	Base           int64         `json:"base"`
	Services       []serviceJSON `json:"services,omitempty"`
	Teams          []teamJSON    `json:"teams,omitempty"`
	Routes         []routeJSON   `json:"routes,omitempty"`
	RemoveServices []string      `json:"removeServices,omitempty"`
	RemoveTeams    []string      `json:"removeTeams,omitempty"`
	RemoveRoutes   []string      `json:"removeRoutes,omitempty"`
}

// Manifest returns the manifest document of m. It leaves out what the document cannot state:
// the version, the limits, and the attributes that only the platform's configuration sets.
func Manifest(m *manifester.Manifest) ([]byte, error) {
	return marshal(manifestJSON{
		Services: convertAll(m.Services(), service),
		Teams:    convertAll(m.Teams(), team),
		Routes:   convertAll(m.Routes(), route),
	})
}

// Change returns the log record of a published change.
func Change(c *manifester.Change) ([]byte, error) {
	return marshal(changeJSON{
		ID:             string(c.ID()),
		Base:           int64(c.Base()),
		Services:       convertAll(c.Services(), service),
		Teams:          convertAll(c.Teams(), team),
		Routes:         convertAll(c.Routes(), route),
		RemoveServices: c.RemovedServices(),
		RemoveTeams:    c.RemovedTeams(),
		RemoveRoutes:   c.RemovedRoutes(),
	})
}

func marshal(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrapf(err, "encoding %T", v)
	}

	return data, nil
}

func convertAll[T, J any](list []T, f func(T) J) []J {
	out := make([]J, 0, len(list))
	for _, v := range list {
		out = append(out, f(v))
	}

	return out
}

func service(s *manifester.Service) serviceJSON {
	return serviceJSON{
		Name:    s.Name(),
		Class:   string(s.Class()),
		Floor:   s.Floor(),
		Targets: convertAll(s.Targets(), target),
	}
}

func target(t *manifester.Target) targetJSON {
	return targetJSON{
		Name:        t.Name(),
		Address:     t.Address(),
		DataCentre:  t.DataCentre(),
		Slots:       t.Slots(),
		Connections: t.Connections(),
		Leaving:     t.Leaving(),
	}
}

func team(t *manifester.Team) teamJSON {
	return teamJSON{
		Name:   t.Name(),
		Rate:   t.Rate(),
		Burst:  t.Burst(),
		Weight: t.Weight(),
		Keys:   t.KeyDigests(),
	}
}

func route(r *manifester.Route) routeJSON {
	return routeJSON{
		Name:       r.Name(),
		Method:     r.Method(),
		Prefix:     r.Prefix(),
		Service:    r.Service(),
		Open:       r.Open(),
		Idempotent: r.Idempotent(),
		TimeoutMs:  r.Timeout().Milliseconds(),
	}
}
