package queuer

import (
	"cmp"
	"slices"

	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// Rank orders requests by importance: by the first number, then by the second. Lower
// numbers are more important.
type Rank struct {
	first  int
	second int
}

// NewRank returns a rank.
func NewRank(first, second int) Rank {
	return Rank{
		first:  first,
		second: second,
	}
}

// RankOfClass returns the rank of a service's class. A class that is not known has the
// rank of the least important one.
func RankOfClass(c manifester.Class) Rank {
	all := manifester.Classes()
	i := slices.Index(all, c)
	if i < 0 {
		i = len(all) - 1
	}

	return NewRank(i, 0)
}

// compare returns a number below 0 where r is more important than o, and above 0 where it
// is less important.
func (r Rank) compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.first, o.first), cmp.Compare(r.second, o.second))
}
