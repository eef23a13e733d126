package forwarder

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/recoverer"
	"github.com/lagoonkeel/lagoonkeel/internal/reserver"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// faultyClock panics at the reading with the number.
type faultyClock struct {
	*timer.Manual

	readings, panicAt int
}

func (c *faultyClock) Now() timer.Instant {
	c.readings++
	if c.readings == c.panicAt {
		panic("a fault in the code")
	}

	return c.Manual.Now()
}

// answerEach responds to each connection at once.
func answerEach(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// TestPanicReturnsConnection checks that a connection does not count as in use once the
// code has panicked, before or after the request was sent: the target's limit would be
// used up.
func TestPanicReturnsConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go answerEach(ln)
	for _, panicAt := range []int{2, 3} {
		clock := &faultyClock{
			Manual:  timer.NewManual(timer.Instant(time.Hour)),
			panicAt: panicAt,
		}
		tr := NewTransport(clock, handler.DefaultDialect(), reserver.New(1), func(*manifester.Target) int { return 1 })
		x := handler.NewExchange(handler.NewRequest("GET", "/", "", nil), clock.Manual.Now())
		x.SetTarget(manifester.NewTarget(manifester.TargetSpec{Name: "t", Address: ln.Addr().String(), Slots: 1, Connections: 1}))
		x.SetDeadline(clock.Manual.Now().Add(time.Minute))
		err = recoverer.Do(func() error { return tr.Do(t.Context(), x).Err() })
		if err == nil {
			t.Fatalf("reading %d: the code did not panic", panicAt)
		}
		if e := tr.pool.endpoints[ln.Addr().String()]; e != nil && e.open > len(e.idle) {
			t.Errorf("reading %d: %d connections count as in use", panicAt, e.open-len(e.idle))
		}
	}
}
