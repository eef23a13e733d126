package placer

import (
	"context"
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/hasher"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// roomPeriod is the time between two computations of the bounds.
	roomPeriod = 250 * time.Millisecond
	// maxIdlePeriods is the number of periods without a request after which the bound of
	// a service is no longer computed.
	maxIdlePeriods = 40
	// phaseStep spreads rounding evenly over successive computations (golden ratio).
	phaseStep = 0.6180339887498949
)

// WaitingKey returns the key under which VMs report how many requests wait for a service.
func WaitingKey(service string) estimator.Key {
	return estimator.Key(hasher.Sum("waiting", service))
}

// fleet holds the numbers of VMs.
type fleet interface {
	// VMCounts returns how many VMs, this one included, are heard and known.
	VMCounts() (heard, known int)
}

// waitQueue holds the requests of this VM.
type waitQueue interface {
	// Demand returns the numbers of requests of the service that run and that wait.
	Demand(service string) (running, waiting int)
	// Resize changes the maximum number of running requests of the service.
	Resize(service string, bound int)
}

// RoomSpec lists the dependencies of Rooms.
type RoomSpec struct {
	Placer *Placer
	Fleet  fleet
	Clock  clock
	// Phase, from 0 up to 1, differs between VMs. They round their bounds differently, so
	// that the fleet uses the whole room.
	Phase float64
}

// room is the bound of one service on this VM.
type room struct {
	bound int
	// demand is the moving average of the requests of this VM; see usage.
	demand float64
	// used is set once a request read the bound.
	used atomic.Bool
	// idle is the number of periods without a request.
	idle int
}

// Rooms is the controller that computes how many requests this VM may have open for each
// service that gets some. It is safe for concurrent use.
type Rooms struct {
	spec RoomSpec
	// queue is set before the first request.
	queue waitQueue
	// mu serializes changes of the table and guards phase, which is from 0 up to 1.
	mu    sync.Mutex
	phase float64
	// table holds the rooms by service. It is replaced and never changed.
	table atomic.Pointer[map[string]*room]
}

// NewRooms returns a controller without services.
func NewRooms(s RoomSpec) *Rooms {
	r := &Rooms{
		spec:  s,
		phase: s.Phase,
	}
	r.table.Store(&map[string]*room{})

	return r
}

// SetQueue sets the queue of the VM. It must be called before Run and Capacity.
func (r *Rooms) SetQueue(q waitQueue) { r.queue = q }

// Name returns the controller's name.
func (r *Rooms) Name() string { return "rooms" }

// Run computes the bounds until ctx ends.
func (r *Rooms) Run(ctx context.Context) error {
	r.spec.Clock.Every(roomPeriod).Each(ctx, r.Compute)

	return nil
}

// Capacity returns how many requests of the service this VM may have open.
func (r *Rooms) Capacity(service string) int {
	m, ok := (*r.table.Load())[service]
	if !ok {
		m = r.add(service)
	}
	if !m.used.Load() {
		m.used.Store(true)
	}

	return m.bound
}

// Peek returns the bound that Capacity would return. It adds no service, and does not count
// as a request.
func (r *Rooms) Peek(service string) int {
	if m, ok := (*r.table.Load())[service]; ok {
		return m.bound
	}
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.compute(r.spec.Clock.Now(), service, 0).bound
}

// add computes the bound of a service that is not in the table.
func (r *Rooms) add(service string) *room {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := *r.table.Load()
	if m, ok := old[service]; ok {
		return m
	}
	next := maps.Clone(old)
	m := r.compute(r.spec.Clock.Now(), service, 0)
	next[service] = m
	r.table.Store(&next)

	return m
}

// Compute computes the bound of each service that had a request lately, and lets waiting
// requests start for which there is room.
func (r *Rooms) Compute(now timer.Instant) {
	next := r.recompute(now)
	for service, m := range next {
		if _, waiting := r.queue.Demand(service); waiting > 0 {
			r.queue.Resize(service, m.bound)
		}
	}
}

func (r *Rooms) recompute(now timer.Instant) map[string]*room {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, r.phase = math.Modf(r.phase + phaseStep)
	old := *r.table.Load()
	next := make(map[string]*room, len(old))
	for service, m := range old {
		idle := m.idle + 1
		if m.used.Load() {
			idle = 0
		}
		if _, waiting := r.queue.Demand(service); idle > maxIdlePeriods && waiting == 0 {
			continue
		}
		next[service] = r.compute(now, service, m.demand)
		next[service].idle = idle
	}
	r.table.Store(&next)

	return next
}

// compute returns the room of a service, by the average demand up to now; the lock must be
// held.
func (r *Rooms) compute(now timer.Instant, service string, demand float64) *room {
	u := r.spec.Placer.usage(now, service)
	u.running, u.waiting = r.queue.Demand(service)
	u.heard, u.known = r.spec.Fleet.VMCounts()
	u.demand = demand + demandGain*(u.present()-demand)

	return &room{
		bound:  max(minBound, int(u.bound()+r.phase)),
		demand: u.demand,
	}
}
