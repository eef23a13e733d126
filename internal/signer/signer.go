// Package signer authenticates the reports between the VMs of a fleet by a shared key, so
// that a VM believes only VMs of its own fleet. Reports are not encrypted.
package signer

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/cockroachdb/errors"
)

// tagBytes is the length of the tag that ends each signed report: the first half of an
// HMAC-SHA-256.
const tagBytes = sha256.Size / 2

// ErrNotSigned reports data that was not signed with one of the keys.
var ErrNotSigned = errors.New("the report is not signed with a key of this fleet; compare the setting peerKeys of both VMs")

// Signer signs and verifies data. It is immutable and safe for concurrent use.
type Signer struct {
	// keys holds the key that signs and then the others that are accepted; empty if
	// reports are not signed.
	keys [][]byte
}

// New returns a signer. The first key signs, and every key is accepted, so that a key can
// be replaced while VMs run: add the new one as the last on all VMs, then make it the first
// on all, then remove the old one. Without keys, data is neither signed nor verified.
func New(keys []string) *Signer {
	s := &Signer{}
	for _, k := range keys {
		s.keys = append(s.keys, []byte(k))
	}

	return s
}

// Sign returns the data with its tag. It may change the memory behind data.
func (s *Signer) Sign(data []byte) []byte {
	if len(s.keys) == 0 {
		return data
	}

	return append(data, tag(s.keys[0], data)...)
}

// Open returns the data of a signed report without its tag. The error is ErrNotSigned.
func (s *Signer) Open(signed []byte) ([]byte, error) {
	if len(s.keys) == 0 {
		return signed, nil
	}
	if len(signed) < tagBytes {
		return nil, ErrNotSigned
	}
	data, got := signed[:len(signed)-tagBytes], signed[len(signed)-tagBytes:]
	for _, k := range s.keys {
		if hmac.Equal(tag(k, data), got) {
			return data, nil
		}
	}

	return nil, ErrNotSigned
}

func tag(key, data []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write(data) // A hash never fails.

	return h.Sum(nil)[:tagBytes]
}
