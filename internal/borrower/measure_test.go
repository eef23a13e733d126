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
	measuredVMs  = 17
	measuredTime = time.Minute
	// measuredRuns is the number of runs that each line sums up.
	measuredRuns = 5
	// warmUp is not counted: buckets start empty.
	warmUp   = 10 * time.Second
	killedAt = 30 * time.Second
	// takeover is the time from a kill to an active successor: suspicion, and
	// the wait for the lease with its margin.
	takeover     = 3300 * time.Millisecond
	usualTimeout = 2 * time.Second
	longTimeout  = 10 * time.Second
	// oneWay is the latency between the data centres of gulf-south.
	oneWay = 1500 * time.Microsecond
)

// admission is one way to decide which requests are within the rate.
type admission interface {
	request(v int, timeout time.Duration, done func(admitted bool))
	// kill ends the VM that matters most; the balancer avoids it from then on.
	kill() int
	// asked returns the number of calls to holders.
	asked() int
}

// lots is the admission by holders and lots.
type lots struct{ *fleet }

func (l lots) request(v int, timeout time.Duration, done func(bool)) {
	l.fleet.request(l.vms[v], timeout, done)
}

func (l lots) asked() int { return l.calls }

func (l lots) kill() int {
	v := l.holder(0)
	l.unseat(v)
	v.dead = true

	return v.number
}

// shares is the baseline: each VM has 1/N of the rate.
type shares struct {
	fleet   *fleet
	buckets []*admitter.Bucket
}

func newShares(f *fleet, team *manifester.Team) *shares {
	s := &shares{fleet: f}
	n := float64(len(f.vms))
	for range f.vms {
		burst := max(1, team.Burst()/n)
		s.buckets = append(s.buckets, admitter.NewBucket(0, team.Rate()/n, burst, burst))
	}

	return s
}

func (s *shares) request(v int, _ time.Duration, done func(bool)) {
	ok, _ := s.buckets[v].Take(s.fleet.now, 1)
	done(ok)
}

func (s *shares) asked() int { return 0 }
func (s *shares) kill() int  { return 0 }

// traffic is how the requests of one team reach the VMs.
type traffic struct {
	name string
	// first is the share of the requests that reach the first VM; the others
	// are spread evenly.
	first float64
	// batch is the number of requests that come at once.
	batch int
}

// result is one line of the measurement.
type result struct {
	Admission string  `json:"admission"`
	Traffic   string  `json:"traffic"`
	Rate      float64 `json:"rate"`
	Burst     float64 `json:"burst"`
	Load      float64 `json:"loadOfRate"`
	Kill      bool    `json:"holderKilled"`
	TimeoutMs int64   `json:"timeoutMs"`
	Requests  int     `json:"requests"`
	// Within counts the requests that one bucket for the whole fleet admits.
	Within int `json:"within"`
	// Wrongful counts those of them that were refused.
	Wrongful        int     `json:"wrongful"`
	WrongfulPercent float64 `json:"wrongfulPercent"`
	// Excess counts the admitted requests that the one bucket refuses.
	Excess         int     `json:"excess"`
	CallsPerSecond float64 `json:"callsPerSecond"`
	WaitP50Micros  int64   `json:"waitP50Micros"`
	WaitP99Micros  int64   `json:"waitP99Micros"`
	// waits are those of the admitted requests.
	waits []time.Duration
}

type measurement struct {
	traffic traffic
	rate    float64
	burst   float64
	load    float64
	kill    bool
	lots    bool
	// timeout is the time to the deadline; 0 means usualTimeout.
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
	if m.lots {
		r.Admission = "holders with lots"
	}
	for seed := range uint64(measuredRuns) {
		m.once(seed, &r)
	}
	r.WrongfulPercent = 100 * float64(r.Wrongful) / float64(max(1, r.Within))
	slices.Sort(r.waits)
	if n := len(r.waits); n > 0 {
		r.WaitP50Micros = r.waits[n/2].Microseconds()
		r.WaitP99Micros = r.waits[n*99/100].Microseconds()
	}

	return r
}

func (m measurement) once(seed uint64, r *result) {
	team := testTeam(m.rate, m.burst)
	f := newFleet(seed, measuredVMs, team)
	f.exactLatency = oneWay
	f.takeover = takeover
	var a admission = lots{f}
	if !m.lots {
		a = newShares(f, team)
	}
	from, until := timer.Instant(warmUp), timer.Instant(warmUp+measuredTime)
	if m.kill {
		from, until = timer.Instant(killedAt), timer.Instant(killedAt+10*time.Second)
	}
	dead := -1
	ideal := admitter.NewBucket(0, m.rate, m.burst, m.burst)
	one := func() {
		arrived := f.now
		v := f.random.IntN(measuredVMs)
		if f.random.Float64() < m.traffic.first {
			v = 1
		}
		if v == dead {
			v = (v + 1) % measuredVMs
		}
		within, _ := ideal.Take(arrived, 1)
		a.request(v, m.timeout, func(admitted bool) {
			if !arrived.Before(from) {
				r.count(within, admitted, f.now.Sub(arrived))
			}
		})
	}
	var next func()
	next = func() {
		for range m.traffic.batch {
			one()
		}
		pause := f.random.ExpFloat64() * float64(m.traffic.batch) / (m.load * m.rate)
		f.at(time.Duration(pause*float64(time.Second)), nil, next)
	}
	next()
	f.run(from)
	if m.kill {
		dead = a.kill()
	}
	before := a.asked()
	f.run(until)
	r.CallsPerSecond += float64(a.asked()-before) / until.Sub(from).Seconds() / measuredRuns
}

func (r *result) count(within, admitted bool, wait time.Duration) {
	if admitted {
		r.waits = append(r.waits, wait)
	}
	r.Requests++
	if within {
		r.Within++
	}
	if within && !admitted {
		r.Wrongful++
	}
	if admitted && !within {
		r.Excess++
	}
}

// BenchmarkMeasureRates prints, for one team on 17 VMs, how many of the
// requests within its rate each admission refuses, and what it costs.
func BenchmarkMeasureRates(b *testing.B) {
	even := traffic{name: "even", batch: 1}
	skewed := traffic{name: "half on one VM", first: 0.5, batch: 1}
	single := traffic{name: "all on one VM", first: 1, batch: 1}
	batches := traffic{name: "even, 20 at once", batch: 20}
	for range b.N {
		for _, lots := range []bool{false, true} {
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
				m.lots = lots
				m.timeout = max(m.timeout, usualTimeout)
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

// BenchmarkMeasureAdmit reports the time of one admission from a lot, with
// requests of one team on every processor.
func BenchmarkMeasureAdmit(b *testing.B) {
	team := testTeam(1e9, 1e9)
	m, err := manifester.Restore(0, nil, []*manifester.Team{team}, nil)
	if err != nil {
		b.Fatal(err)
	}
	s := alone{
		view:     member.NewView(member.NewVM("vm-1", 1, "", "kandy"), nil),
		manifest: m,
	}
	timers := timer.NewService()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- timers.Run(ctx) }()
	a := borrower.New(timers, s, direct{granter: granter.New(s, s, timers)})
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
