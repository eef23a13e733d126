package queuer_test

import (
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/queuer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// TestStartCost guards against starts that copy the requests that still wait: the cost of a
// start would grow with the length of the queue, and the lock of the VM's queue is held.
func TestStartCost(t *testing.T) {
	const (
		bound    = 32
		waiting  = 900
		starts   = 400
		maxBytes = 512
	)
	s := queuer.NewServiceScheduler()
	tickets := make([]*queuer.Ticket, bound+waiting)
	for i := range tickets {
		tickets[i] = queuer.NewTicket(service("fieldbook", ""), team("guides", 1), timer.Instant(time.Hour))
		s.Enter(0, tickets[i], bound, math.MaxInt)
	}
	if s.Waiting() != waiting {
		t.Fatalf("%d requests wait, want %d", s.Waiting(), waiting)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range starts {
		s.Leave(0, tickets[i])
	}
	runtime.ReadMemStats(&after)
	if perStart := (after.TotalAlloc - before.TotalAlloc) / starts; perStart > maxBytes {
		t.Errorf("a start with %d to %d requests waiting allocates %d bytes, want at most %d", waiting-starts, waiting, perStart, maxBytes)
	}
}
