package ejector

import "sync"

// Recorder holds the samples of every target. It is safe for concurrent use; looking
// up a known target takes no lock.
type Recorder struct {
	// targets maps a Key to its *Samples.
	targets sync.Map
	// services maps a service's name to its *Latencies.
	services sync.Map
}

// NewRecorder returns a recorder without samples.
func NewRecorder() *Recorder {
	return &Recorder{}
}

// Samples returns the samples of the key, which the first call creates.
func (r *Recorder) Samples(k Key) *Samples {
	if v, ok := r.targets.Load(k); ok {
		if s, ok := v.(*Samples); ok {
			return s
		}
	}
	v, _ := r.targets.LoadOrStore(k, &Samples{
		key:       k,
		latencies: r.latencies(k.service),
	})
	s, _ := v.(*Samples) // The map holds nothing else.

	return s
}

func (r *Recorder) latencies(service string) *Latencies {
	v, _ := r.services.LoadOrStore(service, &Latencies{})
	l, _ := v.(*Latencies) // The map holds nothing else.

	return l
}

// prune deletes the samples of a key that is no longer in the manifest.
func (r *Recorder) prune(k Key) {
	r.targets.Delete(k)
}
