package retrier

import (
	"cmp"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Rank orders requests by the priority of the team and then by that of the route; 0 is the
// most important.
type Rank struct {
	team  int
	route int
}

// noTeam is the priority of requests without a team.
const noTeam = math.MaxInt

// lowestRank is the rank seen where there is no request.
var lowestRank = Rank{team: noTeam, route: math.MaxInt}

// NewRank returns the rank of requests of a team on a route with these priorities.
func NewRank(team, route int) Rank {
	return Rank{
		team:  team,
		route: route,
	}
}

// NewRankWithoutTeam returns the rank of requests without a team. Those of every team are
// more important.
func NewRankWithoutTeam(route int) Rank { return NewRank(noTeam, route) }

// Compare returns a number below 0 if the rank is higher than the other.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.team, other.team), cmp.Compare(r.route, other.route))
}

// String returns the priorities of the team and of the route; - stands for no team.
func (r Rank) String() string {
	if r.team == noTeam {
		return fmt.Sprintf("-/%d", r.route)
	}

	return fmt.Sprintf("%d/%d", r.team, r.route)
}

// higher returns the higher one of two ranks.
func higher(a, b Rank) Rank {
	if a.Compare(b) <= 0 {
		return a
	}

	return b
}

// periodsPerWindow is the number of periods that a window of seen ranks is divided into.
const periodsPerWindow = 4

// seenRanks holds the highest rank of the requests to one service in each of the last
// periods. It is immutable.
type seenRanks struct {
	// period is the number of the newest period, which is the first entry of highest.
	period  int64
	highest [periodsPerWindow + 1]Rank
}

func newSeenRanks() *seenRanks {
	s := &seenRanks{}
	for i := range s.highest {
		s.highest[i] = lowestRank
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
func (t *rankTable) note(now timer.Instant, service string, r Rank) {
	seen := t.service(service)
	period := int64(time.Duration(now) / t.period)
	for {
		old := seen.Load()
		if old.period >= period && old.highest[0].Compare(r) <= 0 {
			return
		}
		next := old.at(period)
		next.highest[0] = higher(next.highest[0], r)
		if seen.CompareAndSwap(old, next) {
			return
		}
	}
}

// highest returns the highest rank seen within the window.
func (t *rankTable) highest(now timer.Instant, service string) Rank {
	best := lowestRank
	seen, known := (*t.services.Load())[service]
	if !known {
		return best
	}
	for _, r := range seen.Load().at(int64(time.Duration(now) / t.period)).highest {
		best = higher(best, r)
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
	next := make(map[string]*atomic.Pointer[seenRanks], len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	s := &atomic.Pointer[seenRanks]{}
	s.Store(newSeenRanks())
	next[name] = s
	t.services.Store(&next)

	return s
}
