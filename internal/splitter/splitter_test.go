package splitter_test

import (
	"math"
	"testing"

	"github.com/lagoonkeel/lagoonkeel/internal/splitter"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// TestShares checks that few requests, spread over many VMs, are split by the weights,
// and that a route of one service always chooses it.
func TestShares(t *testing.T) {
	const (
		vms       = 17
		requests  = 200 // Rounded down to a multiple of vms.
		tolerance = 0.05
	)
	r := manifester.NewRoute(manifester.RouteSpec{
		Name:   "lookup",
		Shares: []manifester.Share{manifester.NewShare("a", 25), manifester.NewShare("b", 75)},
	})
	counts := map[string]int{}
	for range vms {
		s := splitter.New()
		for range requests / vms {
			counts[s.Choose(r)]++
		}
	}
	total := float64(counts["a"] + counts["b"])
	if part := float64(counts["a"]) / total; math.Abs(part-0.25) > tolerance {
		t.Errorf("the first service got %.3f of the requests, want 0.25", part)
	}
	single := manifester.NewRoute(manifester.RouteSpec{
		Name:    "plain",
		Service: "c",
	})
	if got := splitter.New().Choose(single); got != "c" {
		t.Errorf("a route of one service chose %q", got)
	}
}
