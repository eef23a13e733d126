package messenger_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/granter"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/messenger"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return &countingConn{
		Conn:  c,
		bytes: &l.bytes,
	}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))

	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))

	return n, err
}

// unlimitedGranter grants all the tokens that a request asks for.
type unlimitedGranter struct{}

func (unlimitedGranter) Grant(r granter.TokenRequest) granter.Reply {
	return granter.NewReply(r.Needed()+r.Spare(), 500*time.Millisecond, 0)
}

// scriptedGranter gives each slot a different reply and records the last request.
type scriptedGranter struct {
	last granter.TokenRequest
}

func (s *scriptedGranter) Grant(r granter.TokenRequest) granter.Reply {
	s.last = r
	switch r.Slot() {
	case 0:
		return granter.NewReply(3, 250*time.Millisecond, 40*time.Millisecond)
	case 1:
		return granter.NewRejection(granter.StateNotHolder)
	default:
		return granter.NewRejection(granter.StateUnknownSlot)
	}
}

// TestRateMessages checks that requests for tokens and their replies arrive unchanged
// over loopback, that requests to the own VM go to the local granter, and that a
// stopped holder gives an error.
func TestRateMessages(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := messenger.NewServer(ln)
	holder := &scriptedGranter{}
	if err := s.RegisterRates(holder); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	pool := messenger.NewPool()
	local := &scriptedGranter{}
	c := messenger.NewRateClient("vm-1", local, pool)
	for slot, want := range []granter.Reply{
		granter.NewReply(3, 250*time.Millisecond, 40*time.Millisecond),
		granter.NewRejection(granter.StateNotHolder),
		granter.NewRejection(granter.StateUnknownSlot),
	} {
		request := granter.NewTokenRequest("guides", slot, 5, 7)
		got, err := c.RequestTokens(ctx, member.NewVM("vm-2", 1, ln.Addr().String(), "kandy"), request)
		if err != nil || got != want || holder.last != request {
			t.Errorf("slot %d: got %+v, %v for request %+v; want %+v for request %+v", slot, got, err, holder.last, want, request)
		}
		if got, err := c.RequestTokens(ctx, member.NewVM("vm-1", 1, "", "kandy"), request); err != nil || got != want || local.last != request {
			t.Errorf("slot %d, local granter: got %+v, %v", slot, got, err)
		}
	}
	pool.Close()
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if _, err := c.RequestTokens(context.Background(), member.NewVM("vm-2", 1, ln.Addr().String(), "kandy"), granter.NewTokenRequest("guides", 0, 1, 0)); err == nil {
		t.Error("got a reply from a stopped holder")
	}
}

// BenchmarkMeasureRateMessage reports the time and the payload bytes of one request
// for tokens and its reply on an open connection over loopback.
func BenchmarkMeasureRateMessage(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	listener := &countingListener{Listener: ln}
	s := messenger.NewServer(listener)
	if err := s.RegisterRates(unlimitedGranter{}); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	pool := messenger.NewPool()
	holder := member.NewVM("vm-2", 1, ln.Addr().String(), "kandy")
	c := messenger.NewRateClient("vm-1", unlimitedGranter{}, pool)
	request := granter.NewTokenRequest("guides-of-kandy", 1, 3, 20)
	if _, err := c.RequestTokens(ctx, holder, request); err != nil {
		b.Fatal(err)
	}
	listener.bytes.Store(0)
	b.ResetTimer()
	for range b.N {
		if _, err := c.RequestTokens(ctx, holder, request); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(listener.bytes.Load())/float64(b.N), "bytes/request")
	pool.Close()
	cancel()
	<-done
}
