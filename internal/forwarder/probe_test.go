package forwarder_test

import (
	"net"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/forwarder"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/reserver"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// TestRefusesDuringExit checks that a target is found to refuse connections if it
// accepts some more while its process exits, and once it has exited, but not while
// it keeps running.
func TestRefusesDuringExit(t *testing.T) {
	for _, c := range []struct {
		name string
		// closeAfter is the time after which the target closes each connection; 0 if
		// it keeps running.
		closeAfter time.Duration
		// accepted is the number of connections that the target accepts before it
		// closes its listener; 0 stands for one.
		accepted int
		want     bool
	}{
		{name: "keeps running", closeAfter: 0, want: false},
		{name: "exits at once", closeAfter: time.Nanosecond, want: true},
		{name: "exits soon", closeAfter: 5 * time.Millisecond, want: true},
		{name: "exits on a busy machine", closeAfter: 60 * time.Millisecond, want: true},
		{name: "accepts six connections while it exits", closeAfter: time.Nanosecond, accepted: 6, want: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go acceptAndClose(ln, c.closeAfter, max(1, c.accepted))
			target := manifester.NewTarget(manifester.TargetSpec{
				Name:    "t",
				Address: ln.Addr().String(),
			})
			tr := forwarder.NewTransport(timer.NewService(), handler.DefaultDialect(), reserver.New(testMemory), func(*manifester.Target) int { return 1 })
			if got := tr.RefusesConnections(t.Context(), target); got != c.want {
				t.Errorf("refuses = %v, want %v", got, c.want)
			}
			ln.Close()
			if !tr.RefusesConnections(t.Context(), target) {
				t.Error("a target that has exited does not refuse connections")
			}
		})
	}
}

// acceptAndClose accepts n connections and closes each after closeAfter, and the
// listener before the last one. If closeAfter is 0, it accepts one connection and
// closes nothing.
func acceptAndClose(ln net.Listener, closeAfter time.Duration, n int) {
	for i := range n {
		conn, err := ln.Accept()
		if err != nil || closeAfter == 0 {
			return
		}
		time.Sleep(closeAfter)
		if i == n-1 {
			ln.Close()
		}
		conn.Close()
	}
}
