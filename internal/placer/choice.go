package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// repeatableCost is the cost of a failure of a request that may be sent to
	// another target. The cost of any other failure is 1.
	repeatableCost = 0.35
	// lateCost is the cost of a response after the latency goal.
	lateCost = 0.8
	// minLateRatio and maxLateRatio are ratios of the expected latency to the latency
	// goal. The probability of a late response rises from 0 at the first to 1 at the second.
	minLateRatio = 0.5
	maxLateRatio = 1.3
	// remoteCost is the cost of a request to another data centre.
	remoteCost = 0.2
	// idleTime is the time without evidence after which a target without open attempts
	// is idle. An idle target may be due for a trial request, so that the fleet detects
	// when a target works again.
	idleTime = 800 * time.Millisecond
	// trialRisk is the highest risk at which an idle target is always due.
	trialRisk = 0.6
	// trialQuantile is the fraction of the service's targets, those with the lowest
	// risk, that are due when idle even if their risk is above trialRisk.
	trialQuantile = 0.60
	// maxTrialShare is the fraction of the requests up to which the weight of one
	// target that is due is raised.
	maxTrialShare = 0.03
	// maxAge is the age of the evidence from which on a trial request does not become
	// more urgent.
	maxAge = 4 * time.Second
	// maxTotalTrialShare bounds the fraction of the requests that trials get together.
	// For repeatable requests, and where the service is degraded, every idle target is
	// due and wideMaxTotalTrialShare is the bound.
	maxTotalTrialShare     = 0.03
	wideMaxTotalTrialShare = 0.08
	// temperature is the softmax temperature of the choice: a target whose cost is lower
	// by this much is e times as likely to be chosen.
	temperature = 0.08
)

// candidate is a target that may be chosen.
type candidate struct {
	member *registrar.Member
	// risk is the probability that the request fails there.
	risk float64
	// slots is the number of requests that the target processes at once; above 0.
	slots float64
	// open is the number of open attempts of the whole fleet at the target.
	open float64
	// age is the time since the last evidence, maxAge at most.
	age time.Duration
	// rejectionRate is the share of requests, 0 to 1, that the target rejects; 0 where
	// rejection rates are not used.
	rejectionRate float64
	// local is set where the target is in the data centre of this VM.
	local bool
	// trial is set where the weight of the target was raised because it is idle.
	trial bool
	// trialOnly is set where the target gets trial requests only, since this VM prefers
	// others.
	trialOnly bool
}

// due reports whether the target is idle and should get a trial request. The bound is
// the highest risk at which a target gets one.
func (c candidate) due(bound float64) bool {
	return c.age > idleTime && c.open == 0 && c.risk <= bound
}

// trialUrgency returns the weight of a target that is due among all that are. It grows
// with the square of the time for which the target has been due.
func (c candidate) trialUrgency() float64 {
	idle := (c.age - idleTime).Seconds()

	return idle * idle
}

// trialRiskBound returns the highest risk at which an idle target is due: trialRisk, or
// the quantile of the risks at trialQuantile where that is higher. The list must not be
// empty.
func trialRiskBound(list []candidate, p profile) float64 {
	if p.triesAllIdle() {
		return 1
	}
	risks := make([]float64, len(list))
	for i, c := range list {
		risks[i] = c.risk
	}
	slices.Sort(risks)

	return math.Max(trialRisk, risks[min(len(risks)-1, int(math.Ceil(trialQuantile*float64(len(risks))))-1)])
}

// profile holds the properties of a request that the choice depends on.
type profile struct {
	// latency is the average time to a response on the route, and latencyGoal the time
	// within which a response should come; 0 where unknown.
	latency     time.Duration
	latencyGoal time.Duration
	// serviceLatency is the average time to a response over all routes of the service,
	// as the requests queued at a target may be of any route.
	serviceLatency time.Duration
	repeatable     bool
	// degraded is set where too many of the service's requests are not served.
	degraded bool
}

// profile returns the profile of a request, by the latencies of its route and its service;
// the lock must be held.
func (p *Placer) profile(now timer.Instant, c AttemptSpec, route, service *latency) profile {
	return profile{
		latency:        route.expected(),
		latencyGoal:    route.latencyGoal,
		serviceLatency: cmp.Or(service.expected(), route.expected()),
		repeatable:     c.Repeatable,
		degraded:       p.spec.Degraded(now, c.Service),
	}
}

// triesAllIdle reports whether idle targets are due whatever their risk is.
func (p profile) triesAllIdle() bool { return p.degraded || p.repeatable }

// cost returns the expected cost of sending the request to the target.
func (c candidate) cost(p profile) float64 {
	weight := 1.0
	if p.repeatable {
		weight = repeatableCost
	}
	late := lateCost * c.lateProbability(p)
	cost := weight*c.risk + (1-c.risk)*late + c.rejectionRate
	if !c.local {
		cost += remoteCost
	}

	return cost
}

// lateProbability returns the probability that the response comes after the latency
// goal, given that the requests queued at the target are processed first. Without a goal
// it is the number of queued requests per slot, at most 1.
func (c candidate) lateProbability(p profile) float64 {
	if p.latencyGoal <= 0 {
		return math.Min(1, c.queued()/c.slots)
	}
	expected := p.latency.Seconds() + p.serviceLatency.Seconds()*c.queued()/c.slots
	ratio := expected / p.latencyGoal.Seconds()

	return math.Min(1, math.Max(0, (ratio-minLateRatio)/(maxLateRatio-minLateRatio)))
}

// queued returns the number of requests that wait for a slot of the target, this one
// included.
func (c candidate) queued() float64 { return math.Max(0, c.open+1-c.slots) }

// choose returns the index of a target, chosen by a random number from 0 up to 1 in
// proportion to the weights; -1 without targets.
func choose(list []candidate, random float64, p profile) int {
	weights, total := weigh(list, p)
	at := random * total
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}

	return len(list) - 1
}

// baseWeight returns the weight of a target whose cost exceeds the lowest by excess,
// without the trials.
func (c candidate) baseWeight(excess float64) float64 {
	if c.trialOnly {
		return 0
	}

	return math.Exp(-excess/temperature) * c.slots / (1 + c.open)
}

// weigh returns the weight of each target and the sum of the weights. A weight falls
// exponentially with the cost and grows with the slots per open attempt. The weights
// of targets that are due for a trial are raised.
func weigh(list []candidate, p profile) (weights []float64, total float64) {
	costs := make([]float64, len(list))
	lowest := math.Inf(1)
	for i, c := range list {
		costs[i] = c.cost(p)
		if !c.trialOnly {
			lowest = math.Min(lowest, costs[i])
		}
	}
	weights = make([]float64, len(list))
	for i, c := range list {
		weights[i] = c.baseWeight(costs[i] - lowest)
		total += weights[i]
	}
	if len(list) == 0 {
		return weights, total
	}

	return weights, total + raiseTrials(list, weights, total, p)
}

// raiseTrials raises the weights of the targets that are due, marks these targets as
// trials, and returns by how much the sum of the weights grew.
func raiseTrials(list []candidate, weights []float64, total float64, p profile) float64 {
	bound := trialRiskBound(list, p)
	totalUrgency := 0.0
	for _, c := range list {
		if c.due(bound) {
			totalUrgency += c.trialUrgency()
		}
	}
	limit := maxTotalTrialShare
	if p.triesAllIdle() {
		limit = wideMaxTotalTrialShare
	}
	raised := 0.0
	for i, c := range list {
		if !c.due(bound) {
			continue
		}
		floor := math.Min(maxTrialShare, limit*c.trialUrgency()/totalUrgency) * total
		if weights[i] < floor {
			raised += floor - weights[i]
			weights[i] = floor
			list[i].trial = true
		}
	}

	return raised
}
