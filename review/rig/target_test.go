package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Call is one request that reached a target.
type Call struct {
	Target *Target
	Conn   net.Conn
	Reader *bufio.Reader
	HTTP   *http.Request
	// ID is the consumer's request id.
	ID string
	// Body is the whole body.
	Body []byte
}

// Answer writes a complete answer of the target with its signature.
func (c *Call) Answer(status int, body []byte) error {
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nX-Lagoonkeel-Request-Id: %s\r\nX-Lagoonkeel-Response-Signature: sig-%s\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), c.ID, c.ID, len(body))
	if err == nil && c.HTTP.Method != http.MethodHead {
		_, err = c.Conn.Write(body)
	}
	return err
}

// Target is a stand-in for a target: one server process on an address. It speaks HTTP/1.1
// as PROTOCOL.md says. Stop ends it like a crash of its process.
type Target struct {
	ID      string
	Service string
	Address string
	// Serve runs a request; nil for an answer after Work.
	Serve func(c *Call) error
	// ReadBody reads the body; nil to read it at once.
	ReadBody func(r *http.Request) ([]byte, error)
	Work     time.Duration

	store *Store
	log   *Log
	born  int64
	seq   int
	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]struct{}
	down  atomic.Bool
	slots chan struct{}
}

// targetSlots is the number of requests that a target runs at once.
const targetSlots = 4

// NewTarget starts a target and lists it in the store.
func NewTarget(id, service string, s *Store, l *Log) *Target {
	t := &Target{ID: id, Service: service, store: s, log: l, Work: 20 * time.Millisecond, conns: map[net.Conn]struct{}{}}
	t.Start()
	return t
}

// Start listens on the target's address, or on a free port the first time, and lists the
// target as ready. It is a new lifetime.
func (t *Target) Start() {
	address := t.Address
	if address == "" {
		address = freePort()
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	t.mu.Lock()
	t.ln, t.Address = ln, ln.Addr().String()
	t.born, t.seq = time.Now().UnixMilli(), 0
	t.slots = make(chan struct{}, targetSlots)
	t.mu.Unlock()
	t.down.Store(false)
	t.List("ready")
	go t.accept(ln)
}

// List writes the target's entry.
func (t *Target) List(state string) {
	t.mu.Lock()
	t.seq++
	entry := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"z1","slots":%d},"status":{"state":%q,"seq":%d,"warmupLeftMs":0}}`,
		t.Address, t.born, t.Service, targetSlots, state, t.seq)
	t.mu.Unlock()
	t.store.Put("keyed.servers", t.ID, []byte(entry))
}

// Crash ends the target's process: its listener is closed and its connections end.
func (t *Target) Crash() {
	t.down.Store(true)
	t.mu.Lock()
	_ = t.ln.Close()
	conns := t.conns
	t.conns = map[net.Conn]struct{}{}
	t.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
}

func (t *Target) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[c] = struct{}{}
		t.mu.Unlock()
		go t.serve(c)
	}
}

func (t *Target) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Lagoonkeel-Request-Id")
		t.log.Add("target", t.ID, "arrived id=%s method=%s uri=%q tenant=%q key=%v deadline=%s", id, r.Method, r.RequestURI,
			r.Header.Get("X-Lagoonkeel-Tenant-Id"), r.Header.Get("X-Api-Key") != "", r.Header.Get("X-Lagoonkeel-Deadline-Ms"))
		read := t.ReadBody
		if read == nil {
			read = func(r *http.Request) ([]byte, error) { return io.ReadAll(r.Body) }
		}
		body, err := read(r)
		if err != nil {
			return
		}
		if t.down.Load() {
			return
		}
		if r.Header.Get("X-Lagoonkeel-Expect-Instance") != t.ID && r.Header.Get("X-Lagoonkeel-Expect-Instance") != "" {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Lagoonkeel-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", t.ID)
			continue
		}
		t.slots <- struct{}{}
		t.log.Add("target", t.ID, "ran id=%s service=%s bytes=%d", id, t.Service, len(body))
		call := &Call{Target: t, Conn: c, Reader: reader, HTTP: r, ID: id, Body: body}
		if t.Serve != nil {
			err = t.Serve(call)
		} else {
			time.Sleep(t.Work)
			err = call.Answer(http.StatusOK, []byte("answer to "+id+" "+strings.Repeat("x", 500)))
		}
		<-t.slots
		if err != nil {
			return
		}
	}
}
