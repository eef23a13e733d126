package splitter_test

import (
	"testing"

	"github.com/lagoonkeel/lagoonkeel/internal/splitter"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// TestPeek guards against a question that moves the division of a route, or that names
// another service than the one that the next request gets.
func TestPeek(t *testing.T) {
	r := manifester.NewRoute(manifester.RouteSpec{
		Name:   "r",
		Shares: []manifester.Share{manifester.NewShare("a", 25), manifester.NewShare("b", 75)},
	})
	s := splitter.New()
	s.Choose(r) // The first position is random.
	for i := range 1000 {
		first, second := s.Peek(r), s.Peek(r)
		if got := s.Choose(r); first != got || second != got {
			t.Fatalf("request %d: %s and %s were named, %s was chosen", i, first, second, got)
		}
	}
}
