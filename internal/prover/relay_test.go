package prover

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// direction is one direction of a relayed connection.
type direction int

const (
	// toServer carries the bytes that the connecting side sends.
	toServer direction = iota
	// toClient carries the bytes that the server sends.
	toClient
	// directions is the number of directions.
	directions
)

// relay forwards TCP connections to a server and injects network faults. Each
// direction can drop its bytes while the connection stays open, or delay them.
// disconnect closes every connection, and closes new ones at once.
type relay struct {
	ln           net.Listener
	server       string
	mu           sync.Mutex
	dropping     [directions]bool
	delay        [directions]time.Duration
	disconnected bool
	open         map[net.Conn]bool
	// forwarded counts the bytes of each direction; dropped bytes do not count.
	forwarded [directions]atomic.Int64
}

// startRelay starts a relay that forwards to the server's address.
func startRelay(t *testing.T, server string) *relay {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{
		ln:     ln,
		server: server,
		open:   map[net.Conn]bool{},
	}
	go r.accept()
	t.Cleanup(func() {
		ln.Close()
		r.disconnect()
	})

	return r
}

func (r *relay) address() string { return r.ln.Addr().String() }

// totalBytes returns the bytes forwarded in both directions since the start.
func (r *relay) totalBytes() int64 {
	return r.forwarded[toServer].Load() + r.forwarded[toClient].Load()
}

// drop sets whether one direction drops its bytes.
func (r *relay) drop(d direction, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropping[d] = on
}

// setDelay delays each read of one direction before it is forwarded.
func (r *relay) setDelay(d direction, by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay[d] = by
}

// disconnect closes every connection, and closes new ones at once until heal.
func (r *relay) disconnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnected = true
	for c := range r.open {
		c.Close()
	}
}

// heal lets connections through again, without drops or delays.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnected = false
	r.dropping = [directions]bool{}
	r.delay = [directions]time.Duration{}
}

func (r *relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

func (r *relay) forward(c net.Conn) {
	defer c.Close()
	if !r.track(c) {
		return
	}
	defer r.untrack(c)
	s, err := net.Dial("tcp", r.server)
	if err != nil {
		return
	}
	defer s.Close()
	if !r.track(s) {
		return
	}
	defer r.untrack(s)
	var wg sync.WaitGroup
	wg.Go(func() { r.copy(s, c, toServer) })
	wg.Go(func() { r.copy(c, s, toClient) })
	wg.Wait()
}

func (r *relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.disconnected {
		return false
	}
	r.open[c] = true

	return true
}

func (r *relay) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}

func (r *relay) copy(to, from net.Conn, d direction) {
	defer func() {
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		r.mu.Lock()
		dropping, delay := r.dropping[d], r.delay[d]
		r.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if n > 0 && !dropping {
			r.forwarded[d].Add(int64(n))
			if _, err := to.Write(buf[:n]); err != nil {
				from.Close()

				return
			}
		}
		if err != nil {
			return
		}
	}
}
