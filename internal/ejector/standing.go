package ejector

import "time"

// Standing is what was decided about one target. It is immutable.
type Standing struct {
	key   Key
	grade Grade
	// wanted is the grade that the evidence asks for; where it is worse than
	// grade, the floor kept the target.
	wanted Grade
	// weight is the part of its work that the target gets, from 0 to 1; above 0
	// unless ejected or leaving.
	weight float64
	// trialEvery is the time between two trial requests to an ejected target,
	// of this VM if path is set, else of all; 0 while none are sent.
	trialEvery time.Duration
	cold       bool
	leaving    bool
	// path tells that only this VM keeps off the target.
	path bool
	// long is the pooled evidence.
	long Sum
}

// Key returns the target's key.
func (s *Standing) Key() Key { return s.key }

// Grade returns the grade in force.
func (s *Standing) Grade() Grade { return s.grade }

// Wanted returns the grade that the evidence asks for.
func (s *Standing) Wanted() Grade { return s.wanted }

// Weight returns the part of its work that the target gets.
func (s *Standing) Weight() float64 { return s.weight }

// TrialEvery returns the time between two trial requests to an ejected target,
// of this VM if Path is set, else of all VMs together. It is 0 while none are
// sent.
func (s *Standing) TrialEvery() time.Duration { return s.trialEvery }

// Cold reports whether the target is new or back and still warming up.
func (s *Standing) Cold() bool { return s.cold }

// Leaving reports whether the target must get no new work.
func (s *Standing) Leaving() bool { return s.leaving }

// Path reports whether the evidence is about this VM's path to the target.
func (s *Standing) Path() bool { return s.path }

// Evidence returns the pooled results of the long window.
func (s *Standing) Evidence() Sum { return s.long }

// Verdicts holds the standings of all targets. It is immutable and swapped as
// a whole.
type Verdicts struct {
	standings map[Key]*Standing
	// healthy maps each service to its healthy capacity in slots.
	healthy map[string]int
	// typical maps each service to its median first-byte time, if known.
	typical map[string]time.Duration
}

// Standing returns the standing of the key, or nil for a target that was not
// judged yet.
func (v *Verdicts) Standing(k Key) *Standing { return v.standings[k] }

// Healthy returns the service's capacity in slots of targets with work, not
// counting leaving and cold ones and counting reduced ones by half.
func (v *Verdicts) Healthy(service string) int { return v.healthy[service] }

// Typical returns the service's median first-byte time, or 0.
func (v *Verdicts) Typical(service string) time.Duration { return v.typical[service] }
