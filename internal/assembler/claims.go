package assembler

import "github.com/lagoonkeel/lagoonkeel/pkg/manifester"

// connections returns this VM's part of the connections that the whole fleet
// may hold open to the target, and at least one for each slot.
func (v *VM) connections(target *manifester.Target) int {
	return max(target.Slots(), target.Connections()/max(1, v.members()))
}
