// Package keyer makes callers' keys and their digests. Only digests are ever
// stored or published.
package keyer

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

const (
	// keyBytes is the number of random bytes in a key.
	keyBytes = 32
	// prefix marks a key, so that scanners find one that leaked.
	prefix = "lk_"
)

// New returns a new random key.
func New() (string, error) {
	var b [keyBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", errors.Wrap(err, "reading random bytes")
	}

	return prefix + hex.EncodeToString(b[:]), nil
}

// Digest returns the lower-case hexadecimal SHA-256 digest of a key.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))

	return hex.EncodeToString(sum[:])
}
