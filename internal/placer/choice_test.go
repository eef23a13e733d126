package placer

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestWeigh compares the fraction of the requests that each target gets with the golden
// transcript, for combinations of risk, load, idle time and data centre.
func TestWeigh(t *testing.T) {
	const slots = 4
	good := candidate{risk: 0.01, slots: slots, open: 1, local: true}
	booking := profile{latency: 310 * time.Millisecond, serviceLatency: 310 * time.Millisecond, latencyGoal: 1200 * time.Millisecond}
	lookup := profile{latency: 120 * time.Millisecond, serviceLatency: 120 * time.Millisecond, latencyGoal: 500 * time.Millisecond, repeatable: true}
	degraded := booking
	degraded.degraded = true
	with := func(f func(c *candidate)) candidate {
		c := good
		f(&c)

		return c
	}
	var out bytes.Buffer
	for _, c := range []struct {
		name string
		list []candidate
		p    profile
	}{
		{"booking: one of four is suspect", []candidate{good, good, good, with(func(c *candidate) { c.risk = 0.9 })}, booking},
		{"lookup, which is repeatable: one of four is suspect", []candidate{good, good, good, with(func(c *candidate) { c.risk = 0.9 })}, lookup},
		{"booking: one is full and has a queue", []candidate{good, good, with(func(c *candidate) { c.open = 16 })}, booking},
		{"lookup: one is full and has a queue, with a lower latency goal", []candidate{good, good, with(func(c *candidate) { c.open = 8 })}, lookup},
		{"booking: queueing at a working target costs less than failing at a suspect one", []candidate{
			with(func(c *candidate) { c.open = 10 }), with(func(c *candidate) { c.risk = 0.9; c.open = 0 }),
		}, booking},
		{"booking: a working target is idle", []candidate{good, good, with(func(c *candidate) { c.risk = 0.3; c.open = 0; c.age = maxAge })}, booking},
		{"booking: a suspect target is idle and the service is degraded", []candidate{
			with(func(c *candidate) { c.risk = 0.2 }), with(func(c *candidate) { c.risk = 0.2 }),
			with(func(c *candidate) { c.risk = 0.95; c.open = 0; c.age = maxAge }),
		}, degraded},
		{
			"lookup: one is full of requests with a higher latency",
			[]candidate{good, with(func(c *candidate) { c.open = 6 })},
			profile{latency: 120 * time.Millisecond, latencyGoal: 500 * time.Millisecond, serviceLatency: 500 * time.Millisecond, repeatable: true},
		},
		{"booking: half of the targets are suspect and idle", []candidate{
			good, good,
			with(func(c *candidate) { c.risk = 0.9; c.open = 0; c.age = maxAge }),
			with(func(c *candidate) { c.risk = 0.95; c.open = 0; c.age = maxAge }),
		}, booking},
		{"booking: two working targets are idle, one of them for longer", []candidate{
			good, good,
			with(func(c *candidate) { c.risk = 0.3; c.open = 0; c.age = 2 * idleTime }),
			with(func(c *candidate) { c.risk = 0.3; c.open = 0; c.age = 3 * idleTime }),
		}, booking},
		{"lookup: half of the targets are suspect and idle", []candidate{
			good, good,
			with(func(c *candidate) { c.risk = 0.9; c.open = 0; c.age = 2 * idleTime }),
			with(func(c *candidate) { c.risk = 0.95; c.open = 0; c.age = 3 * idleTime }),
		}, lookup},
		{"lookup: one in another data centre", []candidate{good, with(func(c *candidate) { c.local = false })}, lookup},
		{"booking: one is warming up and has half of its slots", []candidate{good, with(func(c *candidate) { c.slots = slots * warmUpFactor })}, booking},
		{"booking: all are suspect", []candidate{with(func(c *candidate) { c.risk = 0.9 }), with(func(c *candidate) { c.risk = 0.95 })}, booking},
		{"booking: no targets", nil, booking},
	} {
		weights, total := weigh(c.list, c.p)
		fmt.Fprintf(&out, "%s\n", c.name)
		for i, w := range weights {
			trial := ""
			if c.list[i].trial {
				trial = " trial"
			}
			fmt.Fprintf(&out, "  risk %.2f open %.0f%s: %.3f\n", c.list[i].risk, c.list[i].open, trial, w/total)
		}
	}
	goldie.New(t).Assert(t, "weigh", out.Bytes())
}
