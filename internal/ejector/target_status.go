package ejector

import "time"

// TargetStatus is the status that was decided for one target. It is immutable.
type TargetStatus struct {
	key   Key
	grade Grade
	// wanted is the grade that the evidence asks for; where it is worse than grade,
	// the floor kept the target in use.
	wanted Grade
	// weight is the share of its requests that the target gets, from 0 to 1; above 0
	// unless ejected or leaving.
	weight float64
	// trialInterval is the time between two trial requests to an ejected target, from
	// this VM if path is set, else from all VMs together; 0 while an ejected
	// target gets none.
	trialInterval time.Duration
	warmingUp     bool
	leaving       bool
	// path is whether the grade rests on this VM's path to the target.
	path bool
	// long is the pooled sum over the long window.
	long Sum
}

// Key returns the target's key.
func (s *TargetStatus) Key() Key { return s.key }

// Grade returns the grade in force.
func (s *TargetStatus) Grade() Grade { return s.grade }

// Wanted returns the grade that the evidence asks for.
func (s *TargetStatus) Wanted() Grade { return s.wanted }

// Weight returns the share of its requests that the target gets, from 0 to 1.
func (s *TargetStatus) Weight() float64 { return s.weight }

// TrialInterval returns the time between two trial requests to an ejected target,
// from this VM if the evidence is about its path, else from all VMs together. It is
// 0 while an ejected target gets none.
func (s *TargetStatus) TrialInterval() time.Duration { return s.trialInterval }

// WarmingUp reports whether the target is new or has returned, and is still warming up.
func (s *TargetStatus) WarmingUp() bool { return s.warmingUp }

// Leaving reports whether the target must get no new requests.
func (s *TargetStatus) Leaving() bool { return s.leaving }

// PathOnly reports whether the evidence is about this VM's path to the target.
func (s *TargetStatus) PathOnly() bool { return s.path }

// Evidence returns the pooled sum over the long window.
func (s *TargetStatus) Evidence() Sum { return s.long }

// TargetStatuses holds the statuses of all targets. It is immutable and replaced as a
// whole.
type TargetStatuses struct {
	statuses map[Key]*TargetStatus
	// healthySlots maps each service's name to its healthy capacity in slots.
	healthySlots map[string]int
	// medianLatencies maps each service's name to its median first-byte time; 0 if
	// unknown.
	medianLatencies map[string]time.Duration
}

// Status returns the status of the key, or nil for a target that was not evaluated
// yet.
func (s *TargetStatuses) Status(k Key) *TargetStatus { return s.statuses[k] }

// HealthySlots returns the service's healthy capacity in slots. A reduced target counts
// with half of its slots; ejected, leaving and warming-up ones do not count.
func (s *TargetStatuses) HealthySlots(service string) int { return s.healthySlots[service] }

// MedianLatency returns the service's median first-byte time, or 0 while it is unknown.
func (s *TargetStatuses) MedianLatency(service string) time.Duration {
	return s.medianLatencies[service]
}
