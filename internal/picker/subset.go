package picker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// subsetSize is the number of primary targets that a VM has of one service.
const subsetSize = 4

// vmID is the id of a VM of the fleet.
type vmID string

// subset returns which of the targets are the primary ones of the VM self. Each VM
// has the same number of them, and no target has many more VMs than another. Every
// VM that knows the same VMs and targets computes the same assignment.
func subset(self vmID, vms []vmID, targets []string) []bool {
	primary := make([]bool, len(targets))
	size := min(subsetSize, len(targets))
	if size == len(targets) || !slices.Contains(vms, self) {
		for i := range primary {
			primary[i] = true
		}

		return primary
	}
	maxLoad := (len(vms)*size + len(targets) - 1) / len(targets)
	load := make([]int, len(targets))
	for _, vm := range vms {
		for _, i := range chooseTargets(vm, targets, load, size, maxLoad) {
			load[i]++
			if vm == self {
				primary[i] = true
			}
		}
	}

	return primary
}

// chooseTargets returns the targets of one VM: the first in its rendezvous order
// whose load is below maxLoad, and, if these are too few, the first of the others.
func chooseTargets(vm vmID, targets []string, load []int, size, maxLoad int) []int {
	order := rendezvous(vm, targets)
	chosen := make([]int, 0, size)
	for _, full := range []bool{false, true} {
		for _, i := range order {
			if len(chosen) < size && (load[i] >= maxLoad) == full {
				chosen = append(chosen, i)
			}
		}
	}

	return chosen
}

// rendezvous returns the indexes of the targets in the order of their rendezvous
// hash with the VM, the highest first.
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
