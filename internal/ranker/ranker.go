// Package ranker orders requests by importance.
package ranker

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// noTeam is the priority of the team of requests without one.
const noTeam = math.MaxInt

// Rank is the importance of a request: by the priority of its team, then by that of its
// route. 0 is the most important of each. On the log path the class of the service takes the
// place of the team's priority.
type Rank struct {
	team  int
	route int
}

// New returns the rank of requests of a team on a route with these priorities.
func New(team, route int) Rank {
	return Rank{
		team:  team,
		route: route,
	}
}

// WithoutTeam returns the rank of requests without a team that are less important than those
// of every team.
func WithoutTeam(route int) Rank { return New(noTeam, route) }

// Lowest returns the least important rank.
func Lowest() Rank { return WithoutTeam(math.MaxInt) }

// OfClass returns the rank of a service's class. A class that is not known has the rank of
// the least important one.
func OfClass(c manifester.Class) Rank {
	all := manifester.Classes()
	i := slices.Index(all, c)
	if i < 0 {
		i = len(all) - 1
	}

	return New(i, 0)
}

// Compare returns a number below 0 if the rank is more important than the other, and above 0
// if it is less important.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.team, other.team), cmp.Compare(r.route, other.route))
}

// Higher returns the more important one of two ranks.
func (r Rank) Higher(other Rank) Rank {
	if r.Compare(other) <= 0 {
		return r
	}

	return other
}

// String returns the priorities of the team and of the route; - stands for no team.
func (r Rank) String() string {
	if r.team == noTeam {
		return fmt.Sprintf("-/%d", r.route)
	}

	return fmt.Sprintf("%d/%d", r.team, r.route)
}
