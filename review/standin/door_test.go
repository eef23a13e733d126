package standin

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// door is the way of one VM to the store, over a link of limited bandwidth. The store may
// turn the VM away there.
type door struct {
	ln    net.Listener
	store *store
	// rate is in bytes a second.
	rate float64
	mu   sync.Mutex
	// free is when the link has sent all that was written to it.
	free time.Time
	// busyUntil is until when calls get 503.
	busyUntil time.Time
	// waits counts the open reads of the configuration that wait for a change.
	waits int
}

// openDoor opens a door on a free loopback port.
func openDoor(s *store, rate float64) (*door, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{
		ln:    ln,
		store: s,
		rate:  rate,
	}
	go http.Serve(d, http.HandlerFunc(d.serve))

	return d, nil
}

// turnAway makes all calls get 503 for the time.
func (d *door) turnAway(t time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busyUntil = time.Now().Add(t)
}

// waiting reports whether the VM waits for changes of the configuration.
func (d *door) waiting() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.waits > 0
}

func (d *door) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	waits := 0
	if q.Get("topic") == configTopic && wait > 0 {
		waits = 1
	}
	d.mu.Lock()
	busy := time.Now().Before(d.busyUntil)
	d.waits += waits
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.waits -= waits
	}()
	if busy {
		http.Error(w, "try later", http.StatusServiceUnavailable)

		return
	}
	d.store.handler.ServeHTTP(w, r)
}

// Accept, Close and Addr implement net.Listener.
func (d *door) Accept() (net.Conn, error) {
	c, err := d.ln.Accept()
	if err != nil {
		return nil, err
	}

	return &slowConn{
		Conn: c,
		door: d,
	}, nil
}

func (d *door) Close() error   { return d.ln.Close() }
func (d *door) Addr() net.Addr { return d.ln.Addr() }

// pass waits until the link has sent n more bytes.
func (d *door) pass(n int) {
	d.mu.Lock()
	if now := time.Now(); d.free.Before(now) {
		d.free = now
	}
	d.free = d.free.Add(time.Duration(float64(n) / d.rate * float64(time.Second)))
	free := d.free
	d.mu.Unlock()
	time.Sleep(time.Until(free))
}

// slowConn is a connection over the link of a door.
type slowConn struct {
	net.Conn
	door *door
}

// Write sends the bytes in pieces as fast as the link allows.
func (c *slowConn) Write(b []byte) (int, error) {
	const pieceBytes = 8 << 10
	sent := 0
	for sent < len(b) {
		piece := b[sent:min(len(b), sent+pieceBytes)]
		c.door.pass(len(piece))
		n, err := c.Conn.Write(piece)
		sent += n
		if err != nil {
			return sent, err
		}
	}

	return sent, nil
}
