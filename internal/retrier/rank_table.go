package retrier

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/ranker"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// periodsPerWindow is the number of periods that a window of seen ranks is divided into.
const periodsPerWindow = 4

// seenRanks holds the highest rank of the requests to one service in each of the last
// periods. It is immutable.
type seenRanks struct {
	// period is the number of the newest period, which is the first entry of highest.
	period  int64
	highest [periodsPerWindow + 1]ranker.Rank
}

func newSeenRanks() *seenRanks {
	s := &seenRanks{}
	for i := range s.highest {
		s.highest[i] = ranker.Lowest()
	}

	return s
}

// at returns the ranks seen as of a period, which may be newer.
func (s *seenRanks) at(period int64) *seenRanks {
	next := newSeenRanks()
	next.period = max(s.period, period)
	shift := next.period - s.period
	for i := shift; i < int64(len(next.highest)); i++ {
		next.highest[i] = s.highest[i-shift]
	}

	return next
}

// rankTable holds the highest rank that this VM has seen among the requests to each service
// within a window. It is safe for concurrent use and takes no lock for a service that it
// knows.
type rankTable struct {
	// period is the length of a period; above 0.
	period time.Duration
	// mu serializes additions to services.
	mu sync.Mutex
	// services is replaced as a whole by each addition; never nil.
	services atomic.Pointer[map[string]*atomic.Pointer[seenRanks]]
}

func newRankTable(window time.Duration) *rankTable {
	t := &rankTable{
		period: max(1, window/periodsPerWindow), // Settings built without an allowance have no window.
	}
	t.services.Store(&map[string]*atomic.Pointer[seenRanks]{})

	return t
}

// note notes the rank of a request.
func (t *rankTable) note(now timer.Instant, service string, r ranker.Rank) {
	seen := t.service(service)
	period := int64(time.Duration(now) / t.period)
	for {
		old := seen.Load()
		if old.period >= period && old.highest[0].Compare(r) <= 0 {
			return
		}
		next := old.at(period)
		next.highest[0] = next.highest[0].Higher(r)
		if seen.CompareAndSwap(old, next) {
			return
		}
	}
}

// highest returns the highest rank seen within the window.
func (t *rankTable) highest(now timer.Instant, service string) ranker.Rank {
	best := ranker.Lowest()
	seen, known := (*t.services.Load())[service]
	if !known {
		return best
	}
	for _, r := range seen.Load().at(int64(time.Duration(now) / t.period)).highest {
		best = best.Higher(r)
	}

	return best
}

func (t *rankTable) service(name string) *atomic.Pointer[seenRanks] {
	if s, ok := (*t.services.Load())[name]; ok {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.services.Load()
	if s, ok := old[name]; ok {
		return s
	}
	next := maps.Clone(old)
	s := &atomic.Pointer[seenRanks]{}
	s.Store(newSeenRanks())
	next[name] = s
	t.services.Store(&next)

	return s
}
