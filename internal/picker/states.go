package picker

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// unloadedDrift is the factor by which each rebuild raises a service's unloaded
// first-byte time, so that a service that became permanently slower is not taken
// for a congested one.
const unloadedDrift = 1.0005

// serviceState is what this VM has observed of one service. It is safe for
// concurrent use and takes no lock.
type serviceState struct {
	limit limit
	// minMedian is the lowest recent median first-byte time in nanoseconds; 0 while
	// unknown.
	minMedian atomic.Int64
}

// unloaded returns the service's first-byte time without load, or 0 if unknown.
func (s *serviceState) unloaded() time.Duration {
	return time.Duration(s.minMedian.Load())
}

// observeMedian updates the unloaded time with the current median. Only the
// goroutine of Rebuild may call it.
func (s *serviceState) observeMedian(median time.Duration) {
	if median == 0 {
		return
	}
	minMedian := int64(float64(s.minMedian.Load()) * unloadedDrift)
	if minMedian == 0 || int64(median) < minMedian {
		minMedian = int64(median)
	}
	s.minMedian.Store(minMedian)
}

// states holds the states of all targets and services.
type states struct {
	recorder *ejector.Recorder
	// targets maps an ejector.Key to its *targetState.
	targets sync.Map
	// services maps a service's name to its *serviceState.
	services sync.Map
}

// target returns the state of the key's target, which is created at the first
// call.
func (s *states) target(k ejector.Key) *targetState {
	v, ok := s.targets.Load(k)
	if !ok {
		v, _ = s.targets.LoadOrStore(k, &targetState{
			samples: s.recorder.Samples(k),
		})
	}
	found, _ := v.(*targetState) // The map holds nothing else.

	return found
}

// currentTarget returns the state of the key's target for a new table. A state
// whose samples the recorder has dropped is replaced.
func (s *states) currentTarget(k ejector.Key) *targetState {
	found := s.target(k)
	if found.samples != s.recorder.Samples(k) {
		s.targets.Delete(k)
		found = s.target(k)
	}

	return found
}

func (s *states) service(name string) *serviceState {
	v, ok := s.services.Load(name)
	if !ok {
		v, _ = s.services.LoadOrStore(name, &serviceState{})
	}
	found, _ := v.(*serviceState) // The map holds nothing else.

	return found
}

// prune drops the states of targets that are no longer declared and have no
// attempt in flight.
func (s *states) prune(m *manifester.Manifest) {
	declared := map[ejector.Key]bool{}
	for _, sv := range m.Services() {
		for _, t := range sv.Targets() {
			declared[ejector.KeyOf(sv, t)] = true
		}
	}
	s.targets.Range(func(k, v any) bool {
		key, isKey := k.(ejector.Key)
		found, isState := v.(*targetState)
		if !isKey || !isState || (!declared[key] && found.samples.InFlight() <= 0) {
			s.targets.Delete(k)
		}

		return true
	})
}
