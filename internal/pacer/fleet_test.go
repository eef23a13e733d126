package pacer_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/pacer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	step       = 50 * time.Millisecond
	start      = timer.Instant(time.Hour)
	goneAfter  = 12 * time.Second
	never      = time.Hour
	reportLoss = 0.4
	// minShare allows for chance in when the tokens of a few VMs come.
	minShare = 0.45
)

// simulatedVM is a VM with its pacer. Times are from the start of the scenario.
type simulatedVM struct {
	pacer *pacer.Pacer
	// begins is when it is listed and has read the list, ends when it dies.
	begins, ends time.Duration
	// learned holds when it learns of each other VM.
	learned map[*simulatedVM]time.Duration
	known   int
	read    bool
}

func (v *simulatedVM) VMCounts() (heard, known int) { return 1, v.known }

func (v *simulatedVM) ListRead() bool { return v.read }

// refresh updates what the VM knows. Of those that it stops hearing at the time cut, it
// forgets the fraction lost.
func (v *simulatedVM) refresh(at time.Duration, s *scenario) {
	v.read = at >= v.begins
	known := 1.0
	for o, learned := range v.learned {
		if at >= learned && at < o.ends+goneAfter {
			known++
		}
	}
	if at >= s.cut+goneAfter {
		known *= 1 - s.lost
	}
	v.known = max(1, int(known))
}

// scenario is a fleet and what happens to it.
type scenario struct {
	name    string
	targets int
	length  time.Duration
	// times returns when a VM begins and ends.
	times func(i, vms int, r *rand.Rand) (begins, ends time.Duration)
	// demand reports whether a VM has requests for a cold target in a step.
	demand func(at time.Duration, r *rand.Rand) bool
	// cut is when VMs stop hearing the fraction lost of the others; that must be below
	// one half, as all others count as known where fewer are heard.
	cut  time.Duration
	lost float64
	// steady is when the throughput is measured from.
	steady time.Duration
}

func (s *scenario) fleet(vms int, rate float64, r *rand.Rand) []*simulatedVM {
	list := make([]*simulatedVM, vms)
	for i := range list {
		v := &simulatedVM{learned: map[*simulatedVM]time.Duration{}}
		v.begins, v.ends = s.times(i, vms, r)
		v.pacer = pacer.New(pacer.Spec{
			Self:  fmt.Sprintf("10.%d.0.%d:7000", r.IntN(250), i),
			Fleet: v,
			Rate:  func(string) float64 { return rate },
		})
		list[i] = v
	}
	for _, v := range list {
		for _, o := range list {
			if o == v {
				continue
			}
			// The list names those that began earlier; later ones send reports, which may be lost.
			learned := max(v.begins, o.begins)
			for v.begins < o.begins && (learned == o.begins || r.Float64() < reportLoss) {
				learned += 500 * time.Millisecond
			}
			v.learned[o] = learned
		}
	}

	return list
}

// result is what the fleet sent.
type result struct {
	// most is the largest number of requests to one target within a second, ends included.
	most int
	// share is the throughput of all VMs together as a part of the rate.
	share float64
}

func (s *scenario) run(vms int, rate float64, seed uint64) result {
	r := rand.New(rand.NewPCG(seed, 1))
	list := s.fleet(vms, rate, r)
	sent := make([][]time.Duration, s.targets)
	steady := 0
	for at := time.Duration(0); at < s.length; at += step {
		for _, v := range list {
			for _, t := range v.step(at, s, r) {
				sent[t] = append(sent[t], at)
				if at >= s.steady {
					steady++
				}
			}
		}
	}
	x := result{
		share: float64(steady) / (rate * (s.length - s.steady).Seconds() * float64(s.targets)),
	}
	for _, times := range sent {
		x.most = max(x.most, mostInASecond(times))
	}

	return x
}

// step plays one step of a VM and returns the targets that it sends to.
func (v *simulatedVM) step(at time.Duration, s *scenario, r *rand.Rand) []int {
	if at < v.begins || at >= v.ends {
		return nil
	}
	now := start.Add(at)
	if (at-v.begins)%time.Second == 0 {
		v.refresh(at, s)
		v.pacer.Tick(now)
	}
	var sent []int
	for t := range s.targets {
		if !s.demand(at, r) {
			continue
		}
		k := estimator.Key(1000 + t)
		if v.pacer.MaySend(now, "s", k) {
			v.pacer.Take(now, "s", k)
			sent = append(sent, t)
		} else {
			v.pacer.Hold(now, "s", k)
		}
	}

	return sent
}

// mostInASecond returns the largest number of times within a second, ends included.
func mostInASecond(times []time.Duration) int {
	most := 0
	for first, last := 0, 0; last < len(times); last++ {
		for times[last]-times[first] > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}

	return most
}

// worst returns the worst results of several runs.
func (s *scenario) worst(vms int, rate float64, runs uint64) result {
	x := s.run(vms, rate, 0)
	for seed := uint64(1); seed < runs; seed++ {
		y := s.run(vms, rate, seed)
		x.most = max(x.most, y.most)
		x.share = min(x.share, y.share)
	}

	return x
}

func always(time.Duration, *rand.Rand) bool { return true }

func running(int, int, *rand.Rand) (begins, ends time.Duration) { return 0, never }

// scenarios returns what is to be survived, in the order of the golden transcript.
func scenarios() []scenario {
	return []scenario{
		{name: "one cold target", targets: 1, length: 140 * time.Second, times: running, demand: always, steady: 20 * time.Second},
		{name: "many cold targets", targets: 12, length: 20 * time.Second, times: running, demand: always, steady: 5 * time.Second},
		{
			name: "the fleet starts at once and loses reports", targets: 4, length: 25 * time.Second, demand: always, steady: 15 * time.Second,
			times: func(_, _ int, r *rand.Rand) (time.Duration, time.Duration) {
				return time.Duration(r.IntN(60)) * step, never
			},
		},
		{
			name: "the fleet grows to 1.75 times its size at once", targets: 4, length: 40 * time.Second, demand: always, steady: 5 * time.Second,
			times: func(i, vms int, _ *rand.Rand) (time.Duration, time.Duration) {
				if i > vms*4/7 {
					return 20 * time.Second, never
				}

				return 0, never
			},
		},
		{
			name: "one VM in seven dies", targets: 4, length: 60 * time.Second, demand: always, steady: 30 * time.Second,
			times: func(i, _ int, _ *rand.Rand) (time.Duration, time.Duration) {
				if i%7 == 3 {
					return 0, 20 * time.Second
				}

				return 0, never
			},
		},
		{
			name: "each VM loses four in ten others", targets: 4, length: 80 * time.Second, demand: always,
			times: running, cut: 20 * time.Second, lost: 0.4, steady: 5 * time.Second,
		},
		{
			name: "few requests, then all VMs at once", targets: 4, length: 70 * time.Second, times: running, steady: 55 * time.Second,
			demand: func(at time.Duration, r *rand.Rand) bool { return at > 50*time.Second || r.IntN(250) == 0 },
		},
		{
			name: "a target turns cold again while in use", targets: 4, length: 60 * time.Second, times: running, steady: 40 * time.Second,
			demand: func(at time.Duration, _ *rand.Rand) bool { return at < 12*time.Second || at > 40*time.Second },
		},
	}
}

// TestFleet checks that the pacers of a fleet, beside each other under demand far above the
// rate, never send more than the bound to a cold target in any second, and send at least
// about half of the rate. It guards against a target that crashes
// after its start because VMs know too few of each other or use their shares at one time.
func TestFleet(t *testing.T) {
	list := scenarios()
	texts := make([]bytes.Buffer, len(list))
	t.Run("scenarios", func(t *testing.T) {
		for i, s := range list {
			t.Run(s.name, func(t *testing.T) {
				t.Parallel()
				s.write(t, &texts[i])
			})
		}
	})
	var out bytes.Buffer
	for i := range texts {
		out.Write(texts[i].Bytes())
	}
	goldie.New(t).Assert(t, "fleet", out.Bytes())
}

// write writes whether fleets of several sizes keep the bound and the rate.
func (s *scenario) write(t *testing.T, out *bytes.Buffer) {
	t.Helper()
	for _, c := range []struct {
		vms  int
		runs uint64
	}{{1, 2}, {9, 2}, {41, 2}, {138, 1}} {
		for _, rate := range []float64{2, 8, 20} {
			worst := s.worst(c.vms, rate, c.runs)
			bound := 1.5*rate + 8
			t.Logf("%d VMs, rate %v: at most %d in a second (bound %v), %.2f of the rate", c.vms, rate, worst.most, bound, worst.share)
			fmt.Fprintf(out, "%s: %d VMs, rate %v: within the bound %v, about half of the rate %v\n",
				s.name, c.vms, rate, float64(worst.most) <= bound, worst.share >= minShare)
		}
	}
}
