package messenger_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/follower"
	"github.com/lagoonkeel/lagoonkeel/internal/messenger"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// trafficListener counts the bytes received and sent on the connections that it
// accepts.
type trafficListener struct {
	net.Listener
	received, sent atomic.Int64
}

// Accept implements net.Listener.
func (l *trafficListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return trafficConn{
		Conn:     conn,
		listener: l,
	}, nil
}

type trafficConn struct {
	net.Conn
	listener *trafficListener
}

// Read implements net.Conn.
func (c trafficConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.received.Add(int64(n))

	return n, err
}

// Write implements net.Conn.
func (c trafficConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.sent.Add(int64(n))

	return n, err
}

// fakeState is a fixed configuration of a peer.
type fakeState struct {
	position follower.Position
	records  []recorder.Record
	manifest *manifester.Manifest
}

func (s *fakeState) Position() follower.Position { return s.position }

func (s *fakeState) Records(from recorder.Offset) ([]recorder.Record, bool) {
	if len(s.records) == 0 || from < s.records[0].Offset() {
		return nil, false
	}

	return s.records[from-s.records[0].Offset():], true
}

func (s *fakeState) State() (*manifester.Manifest, recorder.Offset) {
	return s.manifest, s.position.Next()
}

// startPeer starts a server for the state and returns its address, its listener and a
// client.
func startPeer(t testing.TB, s *fakeState) (string, *trafficListener, *messenger.ConfigurationClient) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &trafficListener{
		Listener: ln,
	}
	server := messenger.NewServer(listener)
	if err := messenger.RegisterConfiguration(server.Mux(), s); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	pool := messenger.NewPool()
	t.Cleanup(func() {
		if err := pool.Close(); err != nil {
			t.Error(err)
		}
		cancel()
		<-done
	})

	return ln.Addr().String(), listener, messenger.NewConfigurationClient(pool)
}

func position() follower.Position {
	return follower.NewPosition(13_000, true, 250*time.Millisecond, true)
}

// TestConfiguration compares the replies of a peer over TCP with the golden file.
func TestConfiguration(t *testing.T) {
	teams := make([]*manifester.Team, 0, 4100)
	for i := range cap(teams) {
		teams = append(teams, manifester.NewTeam(fmt.Sprintf("team-%d", i), 10, 5, 1, nil))
	}
	m, err := manifester.Restore(12_999, nil, teams, nil)
	if err != nil {
		t.Fatal(err)
	}
	address, _, client := startPeer(t, &fakeState{
		position: position(),
		records: []recorder.Record{
			recorder.NewRecord(12_998, []byte("first")),
			recorder.NewRecord(12_999, bytes.Repeat([]byte("x"), 1<<20)),
		},
		manifest: m,
	})
	var out strings.Builder
	p, err := client.Position(t.Context(), address)
	fmt.Fprintf(&out, "position: next %d, known %v, ready %v, error %v\n", p.Next(), p.Known(), p.Ready(), err)
	if p.Age() < position().Age() {
		t.Errorf("the decoded age %v is less than the encoded one", p.Age())
	}
	for _, from := range []recorder.Offset{12_997, 12_998, 12_999, 13_000} {
		records, kept, err := client.Records(t.Context(), address, from)
		fmt.Fprintf(&out, "records from %d: kept %v, error %v\n", from, kept, err)
		for _, r := range records {
			fmt.Fprintf(&out, "  %d: %d bytes\n", r.Offset(), len(r.Data()))
		}
	}
	got, next, err := client.Snapshot(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&out, "snapshot: version %d, next %d, %d objects differ\n", got.Version(), next, m.Diff("", got).Size())
	goldie.New(t).Assert(t, "configuration", []byte(out.String()))
}

// BenchmarkPosition reports the payload bytes of one request for a position and of its
// reply, without the TCP and IP headers.
func BenchmarkPosition(b *testing.B) {
	address, traffic, client := startPeer(b, &fakeState{
		position: position(),
	})
	n := 0
	for b.Loop() {
		n++
		if _, err := client.Position(b.Context(), address); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(traffic.received.Load())/float64(n), "request-B/op")
	b.ReportMetric(float64(traffic.sent.Load())/float64(n), "reply-B/op")
}
