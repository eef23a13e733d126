// Package keyer generates callers' API keys, computes their digests and finds keys in
// text, and computes fingerprints of requests. Only the digests of keys are ever
// stored or published.
package keyer

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

const (
	// keyBytes is the number of random bytes in a key.
	keyBytes = 32
	// prefix marks a key, so that secret scanners find one that leaked.
	prefix = "lk_"
	// Length is the number of characters of a key.
	Length = len(prefix) + 2*keyBytes
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

// HasPrefix reports whether text begins with the prefix of a key.
func HasPrefix(text []byte) bool {
	return bytes.HasPrefix(text, []byte(prefix))
}

// ContainsKey reports whether text, which must be in lower case, contains the prefix
// of a key followed by as many hexadecimal digits as a key has.
func ContainsKey(text []byte) bool {
	for {
		i := bytes.Index(text, []byte(prefix))
		if i < 0 {
			return false
		}
		text = text[i+len(prefix):]
		if len(text) >= 2*keyBytes && allHex(text[:2*keyBytes]) {
			return true
		}
	}
}

func allHex(text []byte) bool {
	for _, c := range text {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}

	return true
}
