package snapshotter

import (
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// maxPartial bounds the snapshots that are collected at the same time. The chunks
// of that many writers may be interleaved.
const maxPartial = 4

// partial is a snapshot that may still lack chunks.
type partial struct {
	id      ID
	version manifester.Version
	next    recorder.Offset
	count   int
	// chunks are in order from 0 and without gaps.
	chunks []*Chunk
}

// Collector assembles snapshots from their chunks. A snapshot is complete only
// if all its chunks were added in order; chunks of other snapshots may come
// between them. It does no I/O and belongs to one goroutine.
type Collector struct {
	// partials holds the snapshots that began last, the oldest first.
	partials []*partial
	// newest is the complete snapshot with the highest next offset, or nil.
	newest *partial
}

// Add adds the next chunk in the order of the stream and reports whether it
// completed a snapshot.
func (c *Collector) Add(chunk *Chunk) bool {
	if chunk.index == 0 {
		c.begin(chunk)
	}
	for i, p := range c.partials {
		if p.id == chunk.snapshot {
			return c.extend(i, chunk)
		}
	}

	return false
}

func (c *Collector) begin(chunk *Chunk) {
	c.drop(chunk.snapshot)
	if len(c.partials) == maxPartial {
		c.partials = c.partials[1:]
	}
	c.partials = append(c.partials, &partial{
		id:      chunk.snapshot,
		version: chunk.version,
		next:    chunk.next,
		count:   chunk.count,
	})
}

func (c *Collector) drop(id ID) {
	for i, p := range c.partials {
		if p.id == id {
			c.partials = append(c.partials[:i], c.partials[i+1:]...)

			return
		}
	}
}

// extend adds the chunk to the partial snapshot at position i, or drops that
// snapshot if the chunk does not continue it. It reports whether the snapshot is
// complete.
func (c *Collector) extend(i int, chunk *Chunk) bool {
	p := c.partials[i]
	fits := chunk.index == len(p.chunks) && chunk.count == p.count && chunk.version == p.version && chunk.next == p.next
	if !fits {
		c.drop(p.id)

		return false
	}
	p.chunks = append(p.chunks, chunk)
	if len(p.chunks) < p.count {
		return false
	}
	c.drop(p.id)
	if c.newest == nil || p.next >= c.newest.next {
		c.newest = p
	}

	return true
}

// Next returns the offset of the first record that the newest complete snapshot
// does not hold, or false if there is no complete snapshot.
func (c *Collector) Next() (recorder.Offset, bool) {
	if c.newest == nil {
		return 0, false
	}

	return c.newest.next, true
}

// Manifest returns the manifest of the newest complete snapshot and the offset
// of the first record after it. The error is a *MissingError or
// manifester.Faults.
func (c *Collector) Manifest() (*manifester.Manifest, recorder.Offset, error) {
	if c.newest == nil {
		return nil, 0, &MissingError{}
	}
	var services []*manifester.Service
	var teams []*manifester.Team
	var routes []*manifester.Route
	for _, chunk := range c.newest.chunks {
		services = append(services, chunk.services...)
		teams = append(teams, chunk.teams...)
		routes = append(routes, chunk.routes...)
	}
	m, err := manifester.Restore(c.newest.version, services, teams, routes)

	return m, c.newest.next, err
}

// MissingError reports that no complete snapshot was found, or none that reaches the
// oldest record that the log keeps.
type MissingError struct{}

// Error implements error.
func (*MissingError) Error() string {
	return "no complete snapshot reaches the oldest record that the log keeps: a VM without state waits for a peer with the state, " +
		"and the VM that writes snapshots appends one within seconds"
}
