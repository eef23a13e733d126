// Package hasher gives names short numbers for messages between VMs.
package hasher

import "hash/fnv"

// Sum returns the number of the parts of a name. Two names may share a number;
// whoever uses one must bear that.
func Sum(parts ...string) uint32 {
	h := fnv.New32a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p)) // A hash takes every byte.
		_, _ = h.Write([]byte{0})
	}

	return h.Sum32()
}
