package ranker_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/ranker"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// TestOrder guards against a route's priority that outranks the team's, against requests
// without a team that come before those of one, and against unknown classes that come first.
func TestOrder(t *testing.T) {
	list := []ranker.Rank{
		ranker.Lowest(), ranker.WithoutTeam(0), ranker.New(1, 0), ranker.New(0, 7), ranker.New(1, 2), ranker.New(0, 0),
	}
	slices.SortFunc(list, ranker.Rank.Compare)
	var out strings.Builder
	for _, r := range list {
		fmt.Fprintln(&out, r)
	}
	for _, c := range append(manifester.Classes(), "unknown") {
		fmt.Fprintf(&out, "class %s: %v\n", c, ranker.OfClass(c))
	}
	fmt.Fprintf(&out, "higher of 1/0 and 0/7: %v, %v\n", ranker.New(1, 0).Higher(ranker.New(0, 7)), ranker.New(0, 7).Higher(ranker.New(1, 0)))
	goldie.New(t).Assert(t, "order", []byte(out.String()))
}
