package encoder

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/lagoonkeel/lagoonkeel/internal/snapshotter"
)

type chunkJSON struct {
	Snapshot string `json:"snapshot"`
	Version  int64  `json:"version"`
	Next     int64  `json:"next"`
	Index    int    `json:"index"`
	Count    int    `json:"count"`
	Digest   string `json:"digest"`
	Objects  string `json:"objects"`
}

// Chunk returns the log record of one chunk of a snapshot. Its digest is the SHA-256 of
// the encoded objects, which leave out the same attributes as Manifest does.
func Chunk(c *snapshotter.Chunk) ([]byte, error) {
	objects, err := marshal(manifestJSON{
		Services: convertAll(c.Services(), service),
		Teams:    convertAll(c.Teams(), team),
		Routes:   convertAll(c.Routes(), route),
	})
	if err != nil {
		return nil, err
	}
	digest := sha256.Sum256(objects)

	return marshal(chunkJSON{
		Snapshot: string(c.Snapshot()),
		Version:  int64(c.Version()),
		Next:     int64(c.Next()),
		Index:    c.Index(),
		Count:    c.Count(),
		Digest:   hex.EncodeToString(digest[:]),
		Objects:  string(objects),
	})
}
