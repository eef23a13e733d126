package queuer

import "github.com/lagoonkeel/lagoonkeel/pkg/manifester"

const (
	// maxRunning bounds the requests that one VM sends to upstreams at once.
	maxRunning = 512
	// unevenness is how many times its even part of the load one VM may get
	// from the balancer.
	unevenness = 2
)

// Part is the capacity of a VM that may use its part of each service's slots.
type Part struct {
	// members returns the number of VMs that share the targets; at least 1.
	members func() int
}

// NewPart returns the capacity of one of the members.
func NewPart(members func() int) *Part {
	return &Part{
		members: members,
	}
}

// Service returns twice the VM's even part of the service's slots, but not less
// than one target has.
func (p *Part) Service(s *manifester.Service) int {
	slots, largest := 0, 1
	for _, t := range s.Targets() {
		if t.Leaving() {
			continue
		}
		slots += t.Slots()
		largest = max(largest, t.Slots())
	}

	return max(largest, unevenness*slots/max(1, p.members()))
}

// Total returns the bound of the whole VM.
func (p *Part) Total() int { return maxRunning }
