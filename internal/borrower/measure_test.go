package borrower_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/admitter"
	"github.com/lagoonkeel/lagoonkeel/internal/borrower"
	"github.com/lagoonkeel/lagoonkeel/internal/granter"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	measuredVMs = 17
	// measuredTime is the measured time of a run without a kill. Runs with a kill
	// measure the 10 s after it.
	measuredTime = time.Minute
	// measuredRuns is the number of runs that each printed line aggregates.
	measuredRuns = 5
	// warmUp is excluded from the figures of runs without a kill, since the holders'
	// buckets start empty. Runs with a kill exclude the time to killedAt.
	warmUp   = 10 * time.Second
	killedAt = 30 * time.Second
	// takeover is the time from a kill to an active successor: the detection of
	// the failure, and the wait for the end of the lease with its margin.
	takeover       = 3300 * time.Millisecond
	defaultTimeout = 2 * time.Second
	longTimeout    = 10 * time.Second
	// oneWay is the one-way latency between the data centres of the region
	// gulf-south.
	oneWay = 1500 * time.Microsecond
)

// strategy is one way to limit the rate of a team across the fleet.
type strategy interface {
	request(v int, timeout time.Duration, done func(admitted bool))
	// kill returns the number of a VM that gets no more requests from then on. A
	// strategy with holders kills the holder of slot 0; with static shares, VM 0
	// gets no more requests but does not fail.
	kill() int
	// callCount returns the number of calls to holders.
	callCount() int
}

// borrowing admits requests with tokens granted by the holders of slots.
type borrowing struct{ *fleet }

func (b borrowing) request(v int, timeout time.Duration, done func(bool)) {
	b.fleet.request(b.vms[v], timeout, done)
}

func (b borrowing) callCount() int { return b.calls }

func (b borrowing) kill() int {
	v := b.holder(0)
	b.replaceHolder(v)
	v.dead = true

	return v.number
}

// staticShares is the baseline: each VM has 1/N of the rate and asks no
// holders.
type staticShares struct {
	fleet   *fleet
	buckets []*admitter.Bucket
}

func newStaticShares(f *fleet, team *manifester.Team) *staticShares {
	s := &staticShares{fleet: f}
	n := float64(len(f.vms))
	for range f.vms {
		burst := max(1, team.Burst()/n)
		s.buckets = append(s.buckets, admitter.NewBucket(0, team.Rate()/n, burst, burst))
	}

	return s
}

func (s *staticShares) request(v int, _ time.Duration, done func(bool)) {
	ok, _ := s.buckets[v].Take(s.fleet.now, 1)
	done(ok)
}

func (s *staticShares) callCount() int { return 0 }
func (s *staticShares) kill() int      { return 0 }

// traffic describes how the requests of one team are distributed over the VMs.
type traffic struct {
	name string
	// hotShare is the share of the requests that go to VM 1. The others are
	// spread evenly over all VMs.
	hotShare float64
	// batch is the number of requests that arrive at once.
	batch int
}

// result is one printed line of the measurement.
type result struct {
	Admission string  `json:"admission"`
	Traffic   string  `json:"traffic"`
	Rate      float64 `json:"rate"`
	Burst     float64 `json:"burst"`
	Load      float64 `json:"loadOfRate"`
	Kill      bool    `json:"holderKilled"`
	TimeoutMs int64   `json:"timeoutMs"`
	Requests  int     `json:"requests"`
	// Conforming, printed as "within", counts the requests that a single bucket for
	// the whole fleet admits.
	Conforming int `json:"within"`
	// RefusedConforming, printed as "wrongful", counts the conforming requests that
	// were refused.
	RefusedConforming        int     `json:"wrongful"`
	RefusedConformingPercent float64 `json:"wrongfulPercent"`
	// Excess counts the admitted requests that the single bucket refuses.
	Excess         int     `json:"excess"`
	CallsPerSecond float64 `json:"callsPerSecond"`
	WaitP50Micros  int64   `json:"waitP50Micros"`
	WaitP99Micros  int64   `json:"waitP99Micros"`
	// waits are the waiting times of the admitted requests.
	waits []time.Duration
}

type measurement struct {
	traffic   traffic
	rate      float64
	burst     float64
	load      float64
	kill      bool
	borrowing bool
	// timeout is the time to the deadline; 0 means defaultTimeout.
	timeout time.Duration
}

func (m measurement) run() result {
	r := result{
		Admission: "static 1/N",
		Traffic:   m.traffic.name,
		Rate:      m.rate,
		Burst:     m.burst,
		Load:      m.load,
		Kill:      m.kill,
		TimeoutMs: m.timeout.Milliseconds(),
	}
	if m.borrowing {
		r.Admission = "tokens borrowed from holders"
	}
	for seed := range uint64(measuredRuns) {
		m.runSeed(seed, &r)
	}
	r.RefusedConformingPercent = 100 * float64(r.RefusedConforming) / float64(max(1, r.Conforming))
	slices.Sort(r.waits)
	if n := len(r.waits); n > 0 {
		r.WaitP50Micros = r.waits[n/2].Microseconds()
		r.WaitP99Micros = r.waits[n*99/100].Microseconds()
	}

	return r
}

func (m measurement) runSeed(seed uint64, r *result) {
	team := testTeam(m.rate, m.burst)
	f := newFleet(seed, measuredVMs, team)
	f.fixedLatency = oneWay
	f.takeover = takeover
	var s strategy = borrowing{f}
	if !m.borrowing {
		s = newStaticShares(f, team)
	}
	from, until := timer.Instant(warmUp), timer.Instant(warmUp+measuredTime)
	if m.kill {
		from, until = timer.Instant(killedAt), timer.Instant(killedAt+10*time.Second)
	}
	dead := -1
	reference := admitter.NewBucket(0, m.rate, m.burst, m.burst)
	arrive := func() {
		arrived := f.now
		v := f.random.IntN(measuredVMs)
		if f.random.Float64() < m.traffic.hotShare {
			v = 1
		}
		if v == dead {
			v = (v + 1) % measuredVMs
		}
		conforming, _ := reference.Take(arrived, 1)
		s.request(v, m.timeout, func(admitted bool) {
			if !arrived.Before(from) {
				r.count(conforming, admitted, f.now.Sub(arrived))
			}
		})
	}
	var scheduleNext func()
	scheduleNext = func() {
		for range m.traffic.batch {
			arrive()
		}
		pause := f.random.ExpFloat64() * float64(m.traffic.batch) / (m.load * m.rate)
		f.schedule(time.Duration(pause*float64(time.Second)), nil, scheduleNext)
	}
	scheduleNext()
	f.run(from)
	if m.kill {
		dead = s.kill()
	}
	before := s.callCount()
	f.run(until)
	r.CallsPerSecond += float64(s.callCount()-before) / until.Sub(from).Seconds() / measuredRuns
}

func (r *result) count(conforming, admitted bool, wait time.Duration) {
	if admitted {
		r.waits = append(r.waits, wait)
	}
	r.Requests++
	if conforming {
		r.Conforming++
	}
	if conforming && !admitted {
		r.RefusedConforming++
	}
	if admitted && !conforming {
		r.Excess++
	}
}

// BenchmarkMeasureRates prints, for one team on 17 VMs, how many of the
// conforming requests each strategy refuses, how long requests wait, and how many
// calls to holders it takes.
func BenchmarkMeasureRates(b *testing.B) {
	even := traffic{name: "even", batch: 1}
	skewed := traffic{name: "half on one VM", hotShare: 0.5, batch: 1}
	single := traffic{name: "all on one VM", hotShare: 1, batch: 1}
	batches := traffic{name: "even, 20 at once", batch: 20}
	for range b.N {
		for _, borrowed := range []bool{false, true} {
			for _, m := range []measurement{
				{traffic: even, rate: 100, burst: 100, load: 0.8},
				{traffic: skewed, rate: 100, burst: 100, load: 0.8},
				{traffic: single, rate: 100, burst: 100, load: 0.8},
				{traffic: batches, rate: 100, burst: 100, load: 0.5},
				{traffic: even, rate: 5, burst: 5, load: 0.8},
				{traffic: single, rate: 5, burst: 5, load: 0.8},
				{traffic: even, rate: 1000, burst: 1000, load: 0.8},
				{traffic: even, rate: 100, burst: 100, load: 10},
				{traffic: even, rate: 100, burst: 100, load: 0.8, kill: true},
				{traffic: single, rate: 100, burst: 100, load: 0.8, kill: true},
				{traffic: even, rate: 5, burst: 5, load: 0.8, kill: true},
				{traffic: even, rate: 100, burst: 100, load: 0.8, kill: true, timeout: longTimeout},
				{traffic: even, rate: 5, burst: 5, load: 0.8, kill: true, timeout: longTimeout},
			} {
				m.borrowing = borrowed
				m.timeout = max(m.timeout, defaultTimeout)
				r := m.run()
				text, err := json.Marshal(r)
				if err != nil {
					b.Fatal(err)
				}
				fmt.Println(string(text))
			}
		}
	}
}

// BenchmarkMeasureAdmit reports the time of one admission with tokens available,
// with requests of one team on every processor.
func BenchmarkMeasureAdmit(b *testing.B) {
	team := testTeam(1e9, 1e9)
	m, err := manifester.Restore(0, nil, []*manifester.Team{team}, nil)
	if err != nil {
		b.Fatal(err)
	}
	s := singleVM{
		view:     member.NewView(member.NewVM("vm-1", 1, "", "kandy"), nil),
		manifest: m,
	}
	timers := timer.NewService()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- timers.Run(ctx) }()
	a := borrower.New(timers, s, localClient{granter: granter.New(s, s, timers)})
	var refused atomic.Int64
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if !a.Admit(ctx, timers.Now().Add(time.Second), team).Admitted() {
				refused.Add(1)
			}
		}
	})
	b.ReportMetric(float64(refused.Load()), "refused")
	b.ReportMetric(float64(a.Calls()), "calls")
	cancel()
	if err := a.Run(ctx); err != nil {
		b.Fatal(err)
	}
	<-done
}
