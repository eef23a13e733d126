// Package placer chooses the target of each attempt, by how likely it is to
// fail and by how much work the service has. It does no I/O.
package placer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/hasher"
	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// utilization is the part of the slots of the targets in use that the
	// service's work should fill.
	utilization = 0.6
	// leastTargets is the number of targets in use at least.
	leastTargets = 2
	// riskStep is the difference in risk below which targets count as equal.
	riskStep = 0.02
	// fullTime is how long a target that had no room is passed over.
	fullTime = 250 * time.Millisecond
	// nearFactor is the preference for targets of the VM's own data centre.
	nearFactor = 1.5
	// coldFactor is the part of its work that a target gets while it is slow
	// after its start.
	coldFactor = 0.4
	// overduePeriod is the time between two looks for overdue attempts.
	overduePeriod = 200 * time.Millisecond
)

type list interface {
	Members(service string) []*registrar.Member
}

type risks interface {
	Risk(now timer.Instant, k estimator.Key) float64
}

// witness takes in what this VM sees.
type witness interface {
	Observe(now timer.Instant, k estimator.Key, o estimator.Outcome)
}

// teller tells the other VMs what this one sees.
type teller interface {
	Saw(k estimator.Key, o estimator.Outcome)
}

// fleet knows the work of the other VMs.
type fleet interface {
	Open(service uint32) int
}

type clock interface {
	Now() timer.Instant
	Every(d time.Duration) *timer.Subscription
}

// Spec lists what a placer is joined with.
type Spec struct {
	DataCentre string
	List       list
	Risks      risks
	Witness    witness
	Teller     teller
	Fleet      fleet
	Clock      clock
}

// Attempt is one open attempt at a target.
type Attempt struct {
	member  *registrar.Member
	service string
	route   string
	started timer.Instant
	// overdue is the instant from which on the attempt counts as silent; told is
	// set once that was said.
	overdue timer.Instant
	told    bool
}

// Member returns the target.
func (a *Attempt) Member() *registrar.Member { return a.member }

// Started returns when the attempt began.
func (a *Attempt) Started() timer.Instant { return a.started }

// Placer chooses targets. It is safe for concurrent use. It is also the
// controller that finds overdue attempts.
type Placer struct {
	spec Spec
	// mu guards what follows; it is held for one choice.
	mu   sync.Mutex
	open map[*Attempt]struct{}
	// perTarget and perService count the open attempts.
	perTarget  map[estimator.Key]int
	perService map[string]int
	// full holds the instants until which targets are passed over.
	full  map[estimator.Key]timer.Instant
	paces map[string]*pace
}

// New returns a placer without open attempts.
func New(s Spec) *Placer {
	return &Placer{
		spec:       s,
		open:       map[*Attempt]struct{}{},
		perTarget:  map[estimator.Key]int{},
		perService: map[string]int{},
		full:       map[estimator.Key]timer.Instant{},
		paces:      map[string]*pace{},
	}
}

// Name returns the controller's name.
func (p *Placer) Name() string { return "placer" }

// Run finds overdue attempts until ctx ends.
func (p *Placer) Run(ctx context.Context) error {
	p.spec.Clock.Every(overduePeriod).Each(ctx, p.watch)

	return nil
}

// Choice is what a choice of a target depends on.
type Choice struct {
	// Service and Route are the names.
	Service string
	Route   string
	// Aim is the time within which an answer is worth most; 0 where unknown.
	Aim time.Duration
	// Tried are the names of the targets that were tried before.
	Tried []string
}

// candidate is a target that may be chosen.
type candidate struct {
	member *registrar.Member
	risk   float64
	// room is the number of slots that this VM may count on.
	room float64
	near bool
}

// Begin chooses a target and counts the attempt as open; false where no target
// is left. End must be called for each attempt.
func (p *Placer) Begin(now timer.Instant, c Choice) (*Attempt, bool) {
	others := p.spec.Fleet.Open(hasher.Sum(c.Service))
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.candidates(now, c)
	if len(list) == 0 {
		return nil, false
	}
	work := float64(others + p.perService[c.Service] + 1)
	m := p.choose(inUse(list, work))
	a := &Attempt{
		member:  m,
		service: c.Service,
		route:   c.Route,
		started: now,
		overdue: now.Add(p.pace(c.Route, c.Aim).late()),
	}
	p.open[a] = struct{}{}
	p.perTarget[m.Key()]++
	p.perService[c.Service]++

	return a, true
}

// candidates returns the targets that may be chosen, the best first.
func (p *Placer) candidates(now timer.Instant, c Choice) []candidate {
	members := p.spec.List.Members(c.Service)
	list := make([]candidate, 0, len(members))
	for _, m := range members {
		t := m.Target()
		if !m.Listed(now) || slices.Contains(c.Tried, t.Name()) || now.Before(p.full[m.Key()]) {
			continue
		}
		room := float64(t.Slots())
		if m.Cold(now) {
			room *= coldFactor
		}
		list = append(list, candidate{
			member: m,
			risk:   p.spec.Risks.Risk(now, m.Key()),
			room:   room,
			near:   t.DataCentre() == p.spec.DataCentre,
		})
	}
	slices.SortFunc(list, better)

	return list
}

// better orders targets by risk; those of equal risk by a number, the same at
// every VM, so that all use the same few.
func better(a, b candidate) int {
	if d := int(a.risk/riskStep) - int(b.risk/riskStep); d != 0 {
		return d
	}

	return cmp.Compare(a.member.Key(), b.member.Key())
}

// inUse returns the best targets that together have room for the work of the
// fleet, and all others that are as good as the last of them.
func inUse(list []candidate, work float64) []candidate {
	room := 0.0
	for i, c := range list {
		room += c.room * utilization
		if i+1 >= leastTargets && room >= work {
			return list[:i+1]
		}
	}

	return list
}

// choose returns one of the targets, each as likely as it has room that is not
// in use by this VM.
func (p *Placer) choose(list []candidate) *registrar.Member {
	weights := make([]float64, len(list))
	total := 0.0
	for i, c := range list {
		w := c.room / float64(1+2*p.perTarget[c.member.Key()])
		if c.near {
			w *= nearFactor
		}
		weights[i] = w
		total += w
	}
	at := rand.Float64() * total //nolint:gosec // Spreads load; nothing secret hangs on it.
	for i, w := range weights {
		if at -= w; at < 0 {
			return list[i].member
		}
	}

	return list[len(list)-1].member
}

// Result is how an attempt ended.
type Result struct {
	// Outcome is what it says about the target; 0 where it says nothing.
	Outcome estimator.Outcome
	// Full is set where the target had no room.
	Full bool
}

// End closes the attempt and takes in its result.
func (p *Placer) End(now timer.Instant, a *Attempt, r Result) {
	k := a.member.Key()
	p.mu.Lock()
	delete(p.open, a)
	release(p.perTarget, k)
	release(p.perService, a.service)
	if r.Full {
		p.full[k] = now.Add(fullTime)
	} else {
		delete(p.full, k)
	}
	if r.Outcome == estimator.OutcomeServed {
		p.pace(a.route, 0).observe(now.Sub(a.started))
	}
	repeated := a.told && r.Outcome == estimator.OutcomeSilent
	p.mu.Unlock()
	if r.Outcome.Valid() && !repeated {
		p.spec.Witness.Observe(now, k, r.Outcome)
		p.spec.Teller.Saw(k, r.Outcome)
	}
}

func release[K comparable](counts map[K]int, k K) {
	if counts[k]--; counts[k] <= 0 {
		delete(counts, k)
	}
}

// Open calls f with the number of open attempts at each service.
func (p *Placer) Open(f func(service string, open int)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s, n := range p.perService {
		f(s, n)
	}
}

// watch tells of attempts whose answer does not come.
func (p *Placer) watch(now timer.Instant) {
	var silent []estimator.Key
	p.mu.Lock()
	for a := range p.open {
		if !a.told && !now.Before(a.overdue) {
			a.told = true
			silent = append(silent, a.member.Key())
		}
	}
	p.mu.Unlock()
	for _, k := range silent {
		p.spec.Witness.Observe(now, k, estimator.OutcomeSilent)
		p.spec.Teller.Saw(k, estimator.OutcomeSilent)
	}
}
