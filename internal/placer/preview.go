package placer

import (
	"cmp"

	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Option is a target that Begin may choose.
type Option struct {
	candidate candidate
	// cost is the expected cost of the request there.
	cost float64
	// probability is that of being chosen; the probabilities of all options add up to 1.
	probability float64
	cold        bool
}

// Member returns the target.
func (o Option) Member() *registrar.Member { return o.candidate.member }

// Risk returns the probability that the request fails there.
func (o Option) Risk() float64 { return o.candidate.risk }

// Open returns the number of open attempts of the whole fleet at the target.
func (o Option) Open() int { return int(o.candidate.open) }

// Cost returns the expected cost of sending the request there.
func (o Option) Cost() float64 { return o.cost }

// Probability returns the probability that the target is chosen.
func (o Option) Probability() float64 { return o.probability }

// Local reports whether the target is in the data centre of this VM.
func (o Option) Local() bool { return o.candidate.local }

// Suspect reports whether the target does not count for the room of its service.
func (o Option) Suspect() bool { return o.candidate.risk >= suspectRisk }

// Busy reports whether a request would wait for a slot of the target.
func (o Option) Busy() bool { return o.candidate.queued() > 0 }

// Rejects reports whether the target rejected requests lately.
func (o Option) Rejects() bool { return o.candidate.rejectionRate > 0 }

// Cold reports whether the target gets requests at a limited rate only.
func (o Option) Cold() bool { return o.cold }

// Trial reports whether the weight of the target was raised because it was idle.
func (o Option) Trial() bool { return o.candidate.trial }

// Reserve reports whether the target gets trial requests only, since this VM prefers others.
func (o Option) Reserve() bool { return o.candidate.trialOnly }

// Excluded is a target of the service that Begin would not choose.
type Excluded struct {
	member *registrar.Member
	reason Exclusion
}

// Member returns the target.
func (e Excluded) Member() *registrar.Member { return e.member }

// Reason returns why the target is no candidate.
func (e Excluded) Reason() Exclusion { return e.reason }

// Preview is what Begin would decide.
type Preview struct {
	options  []Option
	excluded []Excluded
	degraded bool
}

// Options returns the candidates in the order of their names.
func (p Preview) Options() []Option { return p.options }

// Excluded returns the other targets of the service, without those in evacuated data centres.
func (p Preview) Excluded() []Excluded { return p.excluded }

// Degraded reports whether too many of the service's requests are not served.
func (p Preview) Degraded() bool { return p.degraded }

// Preview returns the candidates among which Begin would choose now, and the other targets
// of the service. It opens no attempt, takes no token, notes no hold and draws no number.
func (p *Placer) Preview(now timer.Instant, c AttemptSpec) Preview {
	p.mu.Lock()
	defer p.mu.Unlock()
	route := peekLatency(p.routeLatencies, c.Route)
	route.latencyGoal = cmp.Or(c.LatencyGoal, route.latencyGoal)
	service := peekLatency(p.serviceLatencies, c.Service)
	list, _ := p.candidates(now, c)
	f := p.profile(now, c, &route, &service)
	p.prefer(list, f)
	weights, total := weigh(list, f)
	v := Preview{
		degraded: f.degraded,
		excluded: p.excluded(now, c),
	}
	for i, k := range list {
		v.options = append(v.options, Option{
			candidate:   k,
			cost:        k.cost(f),
			probability: weights[i] / total,
			cold:        cold(now, k.member),
		})
	}

	return v
}

// excluded returns the targets that are no candidates; the lock must be held.
func (p *Placer) excluded(now timer.Instant, c AttemptSpec) []Excluded {
	var list []Excluded
	for _, m := range p.spec.Targets.Members(c.Service) {
		if reason := p.exclusion(now, c, m); reason != ExclusionNone {
			list = append(list, Excluded{
				member: m,
				reason: reason,
			})
		}
	}

	return list
}

// peekLatency returns a copy of the latency of the name, which is not added.
func peekLatency(latencies map[string]*latency, name string) latency {
	if l, ok := latencies[name]; ok {
		return *l
	}

	return latency{}
}
