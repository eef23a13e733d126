package placer

import "math"

const (
	// networkFactor is the ratio of the open requests of a service to its busy slots, as
	// an open request also spends time on the network.
	networkFactor = 1.25
	// minBound is the number of requests that a VM may always have open.
	minBound = 1
	// demandGain is the weight of the present demand of this VM in the average that is
	// compared with the demand of the others, whose reports are half a round old. When
	// demand rises, each VM would otherwise count its own part too high.
	demandGain = 0.5
)

// usage is what a VM knows of the use of a service when it sets its own bound.
type usage struct {
	// slots is the number of slots that count for the room of the service.
	slots float64
	// running and waiting are the requests of this VM. counted is the number of its open
	// requests at targets that count for the room; at most running.
	running int
	waiting int
	counted float64
	// demand is the moving average of the counted and the waiting requests of this VM.
	demand float64
	// othersOpen and othersWaiting are the requests of the other VMs that are heard.
	othersOpen    float64
	othersWaiting float64
	// heard and known are numbers of VMs, this one included.
	heard int
	known int
}

// bound returns the number of requests that this VM may have open: the larger of what the
// other VMs leave free and its share of the room by open and waiting requests. Where
// requests wait on other VMs too, what these need is left to them, or a part where less is
// free, as each of these VMs sees the same free room. Requests of this VM that take no
// counted slot, for example at a target that does not respond or between two attempts, are
// allowed in addition.
func (u usage) bound() float64 {
	room := networkFactor * u.slots * float64(u.heard) / float64(u.known)
	running := u.countedRunning()
	uncounted := float64(u.running) - running
	if u.heard <= 1 { // The last reports of VMs that are no longer heard do not count.
		return math.Max(minBound, room) + uncounted
	}
	waiting := float64(u.waiting)
	free := room - u.othersOpen - running
	if free > 0 {
		free = math.Max(free-u.othersWaiting, free*(waiting+1)/(waiting+1+u.othersWaiting))
	}
	share := 0.0
	if u.demand > 0 {
		share = room * u.demand / (u.demand + u.othersOpen + u.othersWaiting)
	}

	return math.Max(minBound, math.Max(running+free, share)) + uncounted
}

// countedRunning returns the number of running requests that take counted slots.
func (u usage) countedRunning() float64 { return math.Min(u.counted, float64(u.running)) }

// present returns the number of requests of this VM that take or wait for counted slots.
func (u usage) present() float64 { return u.countedRunning() + float64(u.waiting) }
