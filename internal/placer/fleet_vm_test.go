package placer_test

import (
	"fmt"
	"math"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/placer"
	"github.com/lagoonkeel/lagoonkeel/internal/queuer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// simVM is one VM. Its reports reach the VMs of its side.
type simVM struct {
	fleet     *simFleet
	side      int
	placer    *placer.Placer
	rooms     *placer.Rooms
	scheduler *queuer.Scheduler
	reported  map[estimator.Key]int
	pending   []*simRequest
}

// simRequest is one request of a kind.
type simRequest struct {
	kind    int
	arrived timer.Instant
	ticket  *queuer.Ticket
	tried   []string
}

func (v *simVM) OpenRequests(k estimator.Key) int { return v.fleet.sums[v.side][k] - v.reported[k] }

func (v *simVM) VMCounts() (heard, known int) {
	f := v.fleet
	if f.now < timer.Instant(f.load.deafFor) {
		return 1, f.load.vms
	}

	return f.load.vms / max(1, f.load.sides), f.load.vms
}

func (v *simVM) Demand(string) (running, waiting int) {
	return v.scheduler.Running(), v.scheduler.Waiting()
}

func (v *simVM) Resize(service string, bound int) {
	v.scheduler.Resize(v.fleet.now, service, bound)
	v.collect()
}

func (f *simFleet) newVM(i int) *simVM {
	v := &simVM{
		fleet:     f,
		side:      i % max(1, f.load.sides),
		scheduler: queuer.NewServiceScheduler(),
		reported:  map[estimator.Key]int{},
	}
	v.placer = placer.New(placer.Spec{
		Targets: f.members, Risks: f, Observer: f, Reporter: f, Leaving: f.members, RemoteLoad: v, Clock: f,
		Degraded: func(timer.Instant, string) bool { return false },
		Random:   f.random.Float64,
	})
	v.rooms = placer.NewRooms(placer.RoomSpec{Placer: v.placer, Fleet: v, Clock: f, Phase: f.random.Float64()})
	v.rooms.SetQueue(v)
	f.repeat(250*time.Millisecond, func() { v.rooms.Compute(f.now) })
	f.repeat(time.Duration((f.load.vms+74)/75)*500*time.Millisecond, v.report)

	return v
}

// report replaces the loads that the side knows of this VM, unless the report is lost.
func (v *simVM) report() {
	f := v.fleet
	if f.random.Float64() < f.load.lost {
		return
	}
	loads := map[estimator.Key]int{placer.WaitingKey(service): v.scheduler.Waiting()}
	v.placer.OpenAttempts(func(k estimator.Key, open int) { loads[k] = open })
	f.after(f.load.late, func() {
		for k, n := range v.reported {
			f.sums[v.side][k] -= n
		}
		for k, n := range loads {
			f.sums[v.side][k] += n
		}
		v.reported = loads
	})
}

func (v *simVM) enter(i int) {
	f := v.fleet
	f.results[i].offered++
	deadline := f.now.Add(f.load.deadline)
	team := manifester.NewTeam(fmt.Sprintf("team-%d", f.random.IntN(4)), 1, 1, 1, nil)
	r := &simRequest{
		kind:    i,
		arrived: f.now,
		ticket:  queuer.NewTicket(manifester.NewService(service, "", 0, nil), team, deadline).WithRank(f.load.kinds[i].rank),
	}
	v.pending = append(v.pending, r)
	v.scheduler.Enter(f.now, r.ticket, v.rooms.Capacity(service), math.MaxInt)
	v.cancelAfter(v.scheduler.LatestStart(r.ticket).Sub(f.now), r, queuer.ReasonLate)
	if f.random.Float64() < f.load.leaves {
		v.cancelAfter(50*time.Millisecond, r, queuer.ReasonGone)
	}
	v.collect()
}

func (v *simVM) cancelAfter(d time.Duration, r *simRequest, reason queuer.Reason) {
	v.fleet.after(d, func() {
		v.scheduler.Cancel(r.ticket, reason)
		v.collect()
	})
}

// collect applies the verdicts that arrived.
func (v *simVM) collect() {
	pending := v.pending
	v.pending = pending[:0]
	for _, r := range pending {
		select {
		case d := <-r.ticket.Verdict():
			v.settle(r, d)
		default:
			v.pending = append(v.pending, r)
		}
	}
}

func (v *simVM) settle(r *simRequest, d queuer.Verdict) {
	f := v.fleet
	s := &f.results[r.kind]
	switch {
	case d.Started():
		s.started++
		s.waits = append(s.waits, f.now.Sub(r.arrived))
		f.after(0, func() { v.attempt(r) })
	case d.Reason() == queuer.ReasonGone:
		s.left++
	case f.now == r.arrived:
		s.atOnce++
	default:
		s.later++
	}
}

func (v *simVM) attempt(r *simRequest) {
	f := v.fleet
	a, ok := v.placer.Begin(f.now, placer.AttemptSpec{Service: service, Route: "r", LatencyGoal: 4 * f.load.work, Tried: r.tried})
	if !ok || len(r.tried) >= maxAttempts {
		f.results[r.kind].rejected++
		if ok {
			v.placer.End(f.now, a, placer.Result{})
		}
		v.leave(r)

		return
	}
	name := a.Member().Target().Name()
	r.tried = append(r.tried, name)
	t := f.targets[name]
	run := func() {
		f.after(time.Duration(f.random.ExpFloat64()*float64(f.load.work)), func() {
			t.end()
			f.after(networkTime, func() {
				v.placer.End(f.now, a, placer.Result{Outcome: estimator.OutcomeServed})
				v.leave(r)
			})
		})
	}
	switch {
	case t.busy < slots:
		t.busy++
		run()
	case len(t.queued) < targetQueue:
		t.queued = append(t.queued, run)
	default:
		v.placer.End(f.now, a, placer.Result{Full: true})
		f.after(networkTime, func() { v.attempt(r) })
	}
}

func (v *simVM) leave(r *simRequest) {
	v.scheduler.Leave(v.fleet.now, r.ticket)
	v.collect()
}
