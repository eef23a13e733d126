package assembler

import (
	"github.com/lagoonkeel/lagoonkeel/internal/gossiper"
	"github.com/lagoonkeel/lagoonkeel/internal/hasher"
	"github.com/lagoonkeel/lagoonkeel/internal/placer"
	"github.com/lagoonkeel/lagoonkeel/internal/queuer"
)

// newQueue returns the fair queue of requests that wait for capacity of their service,
// and registers its gauge.
func newQueue(v *VM) *queuer.Queuer {
	q := queuer.New(v.timers, queuer.NewVMCapacity(v.targets.balancer))
	v.meter.RegisterGauge("queue.waiting", q.Waiting)

	return q
}

// phaseRange is the number of values of the hash that spreads the rounding of bounds
// over the VMs.
const phaseRange = 1 << 32

// addQueue builds the queue where the setting is on, and the controller of its bounds.
func (v *StoreVM) addQueue() {
	if !v.settings.Queue() {
		return
	}
	v.rooms = placer.NewRooms(placer.RoomSpec{
		Placer: v.placer,
		Fleet:  v.gossiper,
		Clock:  v.timers,
		Phase:  float64(hasher.Sum(v.settings.Peers())) / phaseRange,
	})
	v.queue = queuer.NewByService(v.timers, queuer.NewServiceCapacity(v.rooms))
	v.rooms.SetQueue(v.queue)
	v.meter.RegisterGauge("queue.waiting", v.queue.Waiting)
	v.queue.Each(v.meter.RegisterCounter)
}

// waitingLoads returns the number of requests that wait on this VM for each service.
func (v *StoreVM) waitingLoads() []gossiper.Load {
	if v.queue == nil {
		return nil
	}
	var list []gossiper.Load
	v.queue.EachWaiting(func(service string, waiting int) {
		list = append(list, gossiper.NewLoad(placer.WaitingKey(service), uint32(waiting))) //nolint:gosec // The queue is bounded.
	})

	return list
}
