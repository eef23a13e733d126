// Package hasher hashes names to 32-bit identifiers for messages between VMs.
package hasher

import "hash/fnv"

// Sum returns the 32-bit FNV-1a hash of the parts of a name, each followed by a zero
// byte. Hashes of different names can collide; the caller must tolerate that.
func Sum(parts ...string) uint32 {
	h := fnv.New32a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p)) // Writing to a hash never fails.
		_, _ = h.Write([]byte{0})
	}

	return h.Sum32()
}
