package picker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// subsetSize is the number of a VM's primary targets of one service.
const subsetSize = 4

// vmID names a VM of the fleet.
type vmID string

// subset returns, for the VM self, which of the targets are its primary ones:
// each VM has the same number, and no target has many more VMs than another.
// Every VM that knows the same VMs and targets computes the same assignment.
func subset(self vmID, vms []vmID, targets []string) []bool {
	mine := make([]bool, len(targets))
	size := min(subsetSize, len(targets))
	if size == len(targets) || !slices.Contains(vms, self) {
		for i := range mine {
			mine[i] = true
		}

		return mine
	}
	room := (len(vms)*size + len(targets) - 1) / len(targets)
	load := make([]int, len(targets))
	for _, vm := range vms {
		for _, i := range choose(vm, targets, load, size, room) {
			load[i]++
			if vm == self {
				mine[i] = true
			}
		}
	}

	return mine
}

// choose returns the targets of one VM: the first in its rendezvous order that
// have room, and, if these are too few, the first of the others.
func choose(vm vmID, targets []string, load []int, size, room int) []int {
	order := rendezvous(vm, targets)
	chosen := make([]int, 0, size)
	for _, full := range []bool{false, true} {
		for _, i := range order {
			if len(chosen) < size && (load[i] >= room) == full {
				chosen = append(chosen, i)
			}
		}
	}

	return chosen
}

// rendezvous returns the indexes of the targets in the order of their hash with
// the VM.
func rendezvous(vm vmID, targets []string) []int {
	scores := make([]uint64, len(targets))
	order := make([]int, len(targets))
	for i, t := range targets {
		scores[i] = xxhash.Sum64String(string(vm) + "\x00" + t)
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(scores[b], scores[a])
	})

	return order
}
