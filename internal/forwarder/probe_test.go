package forwarder_test

import (
	"net"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/forwarder"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// TestRefusesWhileEnding looks at a target that takes one more connection while
// its process ends, at one that lives, and at one that has ended.
func TestRefusesWhileEnding(t *testing.T) {
	for _, c := range []struct {
		name string
		// after is how long the target lives once it took a connection; 0 is for
		// good.
		after time.Duration
		// taken is the number of connections that it takes before; 0 is for one.
		taken int
		want  bool
	}{
		{name: "lives", after: 0, want: false},
		{name: "ends at once", after: time.Nanosecond, want: true},
		{name: "ends soon", after: 5 * time.Millisecond, want: true},
		{name: "ends on a busy machine", after: 60 * time.Millisecond, want: true},
		{name: "takes six connections while it ends", after: time.Nanosecond, taken: 6, want: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go serveSome(ln, c.after, max(1, c.taken))
			target := manifester.NewTarget(manifester.TargetSpec{
				Name:    "t",
				Address: ln.Addr().String(),
			})
			tr := forwarder.NewTransport(timer.NewService(), handler.OwnNames(), func(*manifester.Target) int { return 1 })
			if got := tr.Refuses(t.Context(), target); got != c.want {
				t.Errorf("refuses = %v, want %v", got, c.want)
			}
			ln.Close()
			if !tr.Refuses(t.Context(), target) {
				t.Error("a target that has ended does not refuse")
			}
		})
	}
}

// serveSome takes connections and ends each after a time, and the listener with
// the last; or it ends nothing.
func serveSome(ln net.Listener, after time.Duration, n int) {
	for i := range n {
		conn, err := ln.Accept()
		if err != nil || after == 0 {
			return
		}
		time.Sleep(after)
		if i == n-1 {
			ln.Close()
		}
		conn.Close()
	}
}
