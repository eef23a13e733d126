package assembler

import "github.com/lagoonkeel/lagoonkeel/internal/queuer"

// newQueue returns the fair queue of requests that wait for capacity of their service,
// and registers its gauge.
func newQueue(v *VM) *queuer.Queuer {
	q := queuer.New(v.timers, queuer.NewVMCapacity(v.targets.balancer))
	v.meter.RegisterGauge("queue.waiting", q.Waiting)

	return q
}
