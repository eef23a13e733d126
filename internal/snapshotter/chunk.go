// Package snapshotter appends snapshots of the configuration to the log before
// the records that they replace expire, and loads the newest one.
package snapshotter

import (
	"fmt"

	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// chunkObjects bounds the services, teams and routes of one chunk.
const chunkObjects = 2000

// maxChunks bounds the chunks of one snapshot.
const maxChunks = 1 << 16

// ID identifies one snapshot. Each attempt to write one uses a new ID.
type ID string

// Chunk is one part of a snapshot.
type Chunk struct {
	snapshot ID
	// version is the version of the manifest; next is the offset of the first
	// record that the snapshot does not hold.
	version manifester.Version
	next    recorder.Offset
	// index is the position of the chunk in the snapshot, from 0 to count-1.
	index    int
	count    int
	services []*manifester.Service
	teams    []*manifester.Team
	routes   []*manifester.Route
}

// ChunkSpec holds the arguments of NewChunk.
type ChunkSpec struct {
	Snapshot ID
	Version  manifester.Version
	Next     recorder.Offset
	Index    int
	Count    int
	Services []*manifester.Service
	Teams    []*manifester.Team
	Routes   []*manifester.Route
}

// ChunkError reports a chunk whose index, count or next offset is out of range.
type ChunkError struct {
	index int
	count int
	next  recorder.Offset
}

// Error implements error.
func (e *ChunkError) Error() string {
	return fmt.Sprintf("chunk %d of %d for offset %d is not valid: the snapshot is ignored", e.index, e.count, e.next)
}

// NewChunk returns a chunk, or a *ChunkError.
func NewChunk(s ChunkSpec) (*Chunk, error) {
	if s.Index < 0 || s.Index >= s.Count || s.Count > maxChunks || s.Next <= recorder.Offset(s.Version) {
		return nil, &ChunkError{
			index: s.Index,
			count: s.Count,
			next:  s.Next,
		}
	}

	return &Chunk{
		snapshot: s.Snapshot,
		version:  s.Version,
		next:     s.Next,
		index:    s.Index,
		count:    s.Count,
		services: s.Services,
		teams:    s.Teams,
		routes:   s.Routes,
	}, nil
}

// Snapshot returns the ID of the snapshot that the chunk belongs to.
func (c *Chunk) Snapshot() ID { return c.snapshot }

// Version returns the version of the manifest.
func (c *Chunk) Version() manifester.Version { return c.version }

// Next returns the offset of the first record that the snapshot does not hold.
func (c *Chunk) Next() recorder.Offset { return c.next }

// Index returns the position in the snapshot, from 0.
func (c *Chunk) Index() int { return c.index }

// Count returns the number of chunks of the snapshot.
func (c *Chunk) Count() int { return c.count }

// Services returns the chunk's services.
func (c *Chunk) Services() []*manifester.Service { return c.services }

// Teams returns the chunk's teams.
func (c *Chunk) Teams() []*manifester.Team { return c.teams }

// Routes returns the chunk's routes.
func (c *Chunk) Routes() []*manifester.Route { return c.routes }

// Split divides a manifest into the chunks of a snapshot; there is at least one.
func Split(id ID, m *manifester.Manifest, next recorder.Offset) []*Chunk {
	services, teams, routes := m.Services(), m.Teams(), m.Routes()
	count := max(1, (len(services)+len(teams)+len(routes)+chunkObjects-1)/chunkObjects)
	chunks := make([]*Chunk, 0, count)
	for i := range count {
		c := &Chunk{
			snapshot: id,
			version:  m.Version(),
			next:     next,
			index:    i,
			count:    count,
		}
		room := chunkObjects
		c.services, services, room = take(services, room)
		c.teams, teams, room = take(teams, room)
		c.routes, routes, _ = take(routes, room)
		chunks = append(chunks, c)
	}

	return chunks
}

// take returns up to room elements of the list, the other elements, and the room
// that is left.
func take[T any](list []T, room int) (taken, rest []T, left int) {
	n := min(room, len(list))

	return list[:n], list[n:], room - n
}
