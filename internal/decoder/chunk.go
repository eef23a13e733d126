package decoder

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/snapshotter"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// DigestError reports a chunk whose objects do not match its digest.
type DigestError struct {
	snapshot snapshotter.ID
	index    int
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("chunk %d of snapshot %q does not match its digest: the snapshot is ignored", e.index, e.snapshot)
}

// Chunk decodes the log record of one chunk of a snapshot. The error is manifester.Faults,
// a *DigestError or a *snapshotter.ChunkError.
func Chunk(data []byte) (*snapshotter.Chunk, error) {
	r, c, err := openRoot(data)
	if err != nil {
		return nil, err
	}
	spec := snapshotter.ChunkSpec{
		Snapshot: snapshotter.ID(r.text("snapshot")),
		Version:  manifester.Version(r.integer("version", int64(manifester.NoVersion), int64(manifester.NoVersion), math.MaxInt64)),
		Next:     recorder.Offset(r.integer("next", 0, 0, math.MaxInt64)),
		Index:    int(r.integer("index", 0, 0, math.MaxInt32)),
		Count:    int(r.integer("count", 0, 0, math.MaxInt32)),
	}
	digest := r.text("digest")
	objects := r.text("objects")
	r.close()
	if err := c.err(); err != nil {
		return nil, err
	}
	if sum := sha256.Sum256([]byte(objects)); hex.EncodeToString(sum[:]) != digest {
		return nil, &DigestError{
			snapshot: spec.Snapshot,
			index:    spec.Index,
		}
	}
	if err := readObjects([]byte(objects), &spec); err != nil {
		return nil, err
	}
	chunk, err := snapshotter.NewChunk(spec)

	return chunk, errors.Wrap(err, "reading a snapshot")
}

func readObjects(data []byte, spec *snapshotter.ChunkSpec) error {
	r, c, err := openRoot(data)
	if err != nil {
		return err
	}
	spec.Services = readAll(r, "services", readService)
	spec.Teams = readAll(r, "teams", readTeam)
	spec.Routes = readAll(r, "routes", readRoute)
	r.close()

	return c.err()
}
