package timer_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// TestManual compares the ticks of a manual service with the golden file.
func TestManual(t *testing.T) {
	m := timer.NewManual(0)
	every := m.Every(30 * time.Millisecond)
	once := m.After(70 * time.Millisecond)
	var out strings.Builder
	for range 10 {
		m.Advance(10 * time.Millisecond)
		fmt.Fprintf(&out, "%v every=%v once=%v\n", time.Duration(m.Now()), due(every), due(once))
	}
	every.Stop()
	every.Stop()
	m.Advance(time.Second)
	fmt.Fprintf(&out, "stopped every=%v\n", due(every))
	goldie.New(t).Assert(t, "manual", []byte(out.String()))
}

func due(s *timer.Subscription) bool {
	select {
	case <-s.Due():
		return true
	default:
		return false
	}
}

// TestServiceDelivers checks that the service delivers ticks on the system clock, and
// none early.
func TestServiceDelivers(t *testing.T) {
	s := timer.NewService()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	start := s.Now()
	every := s.Every(5 * time.Millisecond)
	for range 3 {
		<-every.Due()
	}
	<-s.After(time.Millisecond).Due()
	if took := s.Now().Sub(start); took < 15*time.Millisecond {
		t.Errorf("got three ticks of 5 ms within %v, want at least 15 ms", took)
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}
