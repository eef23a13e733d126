package snapshotter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// DecodeChunk decodes the chunk in a record.
type DecodeChunk func(data []byte) (*Chunk, error)

type logReader interface {
	Read(ctx context.Context, stream recorder.Stream, from recorder.Offset, wait time.Duration) (recorder.Batch, error)
}

// Loader loads the newest complete snapshot from the log.
type Loader struct {
	log    logReader
	decode DecodeChunk
}

// NewLoader returns a loader.
func NewLoader(l logReader, d DecodeChunk) *Loader {
	return &Loader{
		log:    l,
		decode: d,
	}
}

// Newest returns the manifest of the newest complete snapshot and the offset of
// the first record after it. The error is a *MissingError, manifester.Faults, or
// that of the log.
func (l *Loader) Newest(ctx context.Context) (*manifester.Manifest, recorder.Offset, error) {
	var c Collector
	if err := l.collect(ctx, &c); err != nil {
		return nil, 0, err
	}

	return c.Manifest()
}

// collect reads the stream of snapshots up to its head.
func (l *Loader) collect(ctx context.Context, c *Collector) error {
	next := recorder.Offset(0)
	for {
		batch, err := l.log.Read(ctx, recorder.StreamSnapshots, next, 0)
		var expired *recorder.ExpiredError
		if errors.As(err, &expired) {
			next = expired.First()

			continue
		}
		if err != nil {
			return errors.Wrap(err, "reading the stream of snapshots")
		}
		for _, r := range batch.Records() {
			next = r.Offset() + 1
			if chunk, err := l.decode(r.Data()); err == nil { // A corrupt chunk leaves its snapshot incomplete.
				c.Add(chunk)
			}
		}
		if next >= batch.Head() || len(batch.Records()) == 0 {
			return nil
		}
	}
}
