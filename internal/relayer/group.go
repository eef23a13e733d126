package relayer

import "github.com/lagoonkeel/lagoonkeel/internal/member"

// maxGroup bounds the peers that one VM asks.
const maxGroup = 32

// Group returns the peers that a VM asks: all of them in a small fleet. In a
// large one it takes the successor by id, which connects all VMs, and others
// evenly spaced over the fleet, so that a majority of the group stands for a
// majority of the fleet.
func Group(v *member.View) []member.VM {
	peers := v.Peers()
	if len(peers) <= maxGroup {
		return peers
	}
	start := 0
	for start < len(peers) && peers[start].ID() < v.Self().ID() {
		start++
	}
	group := make([]member.VM, 0, maxGroup)
	for i := range maxGroup {
		group = append(group, peers[(start+i*len(peers)/maxGroup)%len(peers)])
	}

	return group
}
