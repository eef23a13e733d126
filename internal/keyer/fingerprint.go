package keyer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

type request interface {
	Method() string
	Path() string
	Query() string
	Body() []byte
}

// Fingerprint returns the hexadecimal SHA-256 digest of a request's method, path,
// query and body, each preceded by its length.
func Fingerprint(r request) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.Method()), []byte(r.Path()), []byte(r.Query()), r.Body()} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = h.Write(n[:]) // Writing to a hash never fails.
		_, _ = h.Write(part) // Writing to a hash never fails.
	}

	return hex.EncodeToString(h.Sum(nil))
}
