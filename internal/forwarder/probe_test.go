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
		want  bool
	}{
		{name: "lives", after: 0, want: false},
		{name: "ends at once", after: time.Nanosecond, want: true},
		{name: "ends soon", after: 5 * time.Millisecond, want: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go serveOnce(ln, c.after)
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

// serveOnce takes one connection and ends listener and connection after a time,
// or neither.
func serveOnce(ln net.Listener, after time.Duration) {
	conn, err := ln.Accept()
	if err != nil || after == 0 {
		return
	}
	time.Sleep(after)
	ln.Close()
	conn.Close()
}
