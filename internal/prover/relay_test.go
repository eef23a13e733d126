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
	// toServer carries what the connecting side sends.
	toServer direction = iota
	// toClient carries what the accepting side sends.
	toClient
	directions
)

// relay passes TCP connections on to a server. Each direction can be silenced
// (bytes vanish, the connection stays open) or delayed; cut closes every
// connection and refuses new ones.
type relay struct {
	ln     net.Listener
	server string
	mu     sync.Mutex
	silent [directions]bool
	delay  [directions]time.Duration
	cutOff bool
	open   map[net.Conn]bool
	// passed counts the bytes of each direction.
	passed [directions]atomic.Int64
}

// startRelay starts a relay before the server's address.
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
		r.cut()
	})

	return r
}

func (r *relay) address() string { return r.ln.Addr().String() }

// bytes returns what passed in both directions since the start.
func (r *relay) bytes() int64 {
	return r.passed[toServer].Load() + r.passed[toClient].Load()
}

// silence makes one direction swallow what it carries, or carry it again.
func (r *relay) silence(d direction, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent[d] = on
}

// slow delays what one direction carries.
func (r *relay) slow(d direction, by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay[d] = by
}

// cut closes every connection and refuses new ones until heal.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOff = true
	for c := range r.open {
		c.Close()
	}
}

// heal ends a cut, and the silence and delay of both directions.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOff = false
	r.silent = [directions]bool{}
	r.delay = [directions]time.Duration{}
}

func (r *relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.pass(c)
	}
}

func (r *relay) pass(c net.Conn) {
	defer c.Close()
	if !r.track(c) {
		return
	}
	defer r.forget(c)
	s, err := net.Dial("tcp", r.server)
	if err != nil {
		return
	}
	defer s.Close()
	if !r.track(s) {
		return
	}
	defer r.forget(s)
	var wg sync.WaitGroup
	wg.Go(func() { r.copy(s, c, toServer) })
	wg.Go(func() { r.copy(c, s, toClient) })
	wg.Wait()
}

func (r *relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cutOff {
		return false
	}
	r.open[c] = true

	return true
}

func (r *relay) forget(c net.Conn) {
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
		silent, delay := r.silent[d], r.delay[d]
		r.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if n > 0 && !silent {
			r.passed[d].Add(int64(n))
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
