package relayer

import "github.com/lagoonkeel/lagoonkeel/internal/member"

// maxPolledPeers bounds the peers that one VM polls.
const maxPolledPeers = 32

// SelectPeers returns the peers that a VM polls: all of them in a small fleet. In
// a large one it selects the successor by id, so that the polls connect all VMs,
// and others evenly spaced over the fleet, so that a majority of the selected
// peers represents a majority of the fleet.
func SelectPeers(v *member.View) []member.VM {
	peers := v.Peers()
	if len(peers) <= maxPolledPeers {
		return peers
	}
	start := 0
	for start < len(peers) && peers[start].ID() < v.Self().ID() {
		start++
	}
	selected := make([]member.VM, 0, maxPolledPeers)
	for i := range maxPolledPeers {
		selected = append(selected, peers[(start+i*len(peers)/maxPolledPeers)%len(peers)])
	}

	return selected
}
