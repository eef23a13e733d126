package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeatInterval is the heartbeatMs of the platform's settings.
	heartbeatInterval = 1500 * time.Millisecond
	// targetSlots is the number of requests that a target runs at once.
	targetSlots = 4
)

// started is the start of all targets, in Unix milliseconds.
var started = time.Now().UnixMilli()

// workFunc returns how long a request runs.
type workFunc func(a *arrival) time.Duration

// takes returns the work of requests that all run equally long.
func takes(d time.Duration) workFunc {
	return func(*arrival) time.Duration { return d }
}

// arrival is a request that a target ran.
type arrival struct {
	id      string
	method  string
	uri     string
	tenants []string
	// target and service are those of the target that ran it.
	target  string
	service string
}

// target is a stand-in for a sound target of the platform.
type target struct {
	id      string
	service string
	ln      net.Listener
	record  *record
	work    workFunc
	slots   chan struct{}
	// beats gets an entry after each heartbeat that somebody waits for.
	beats chan struct{}
	mu    sync.Mutex
	ran   []*arrival
}

// startTarget starts a target on a free loopback port.
func startTarget(id, service string, r *record, work workFunc) (*target, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{
		id:      id,
		service: service,
		ln:      ln,
		record:  r,
		work:    work,
		slots:   make(chan struct{}, targetSlots),
		beats:   make(chan struct{}),
	}
	go t.accept()

	return t, nil
}

func (t *target) address() string { return t.ln.Addr().String() }

// entry returns the target's own entry in the list of targets.
func (t *target) entry() []byte {
	return []byte(fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"kandy","slots":%d},"status":{"state":"ready","seq":1,"warmupLeftMs":0}}`,
		t.address(), started, t.service, targetSlots))
}

// heartbeat writes the target's entry in each interval.
func (t *target) heartbeat(s *store) {
	for range time.Tick(heartbeatInterval) {
		s.put(targetsTopic, t.id, t.entry())
		select {
		case t.beats <- struct{}{}:
		default:
		}
	}
}

func (t *target) accept() {
	for {
		c, err := t.ln.Accept()
		if err != nil {
			return
		}
		go t.serve(c)
	}
}

// serve answers the requests on a connection, one after the other.
func (t *target) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		id := q.Header.Get("X-Lagoonkeel-Request-Id")
		expected := q.Header.Get("X-Lagoonkeel-Expect-Instance")
		switch {
		case expected != "" && expected != t.id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Lagoonkeel-Request-Id: %s\r\nX-Lagoonkeel-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, t.id)
		case id == "":
			fmt.Fprint(c, "HTTP/1.1 400 Bad Request\r\nX-Lagoonkeel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		default:
			t.runRequest(c, id, q)
		}
	}
}

// runRequest runs a request and answers it.
func (t *target) runRequest(c net.Conn, id string, q *http.Request) {
	a := &arrival{
		id:      id,
		method:  q.Method,
		uri:     q.RequestURI,
		tenants: q.Header.Values("X-Lagoonkeel-Tenant-Id"),
		target:  t.id,
		service: t.service,
	}
	t.slots <- struct{}{}
	t.mu.Lock()
	t.ran = append(t.ran, a)
	t.mu.Unlock()
	t.record.logf("target %s of %s runs %s %s, id %s, tenants %q", a.target, a.service, a.method, a.uri, a.id, a.tenants)
	time.Sleep(t.work(a))
	<-t.slots
	t.record.logf("target %s answers %s", a.target, a.id)
	text := t.service + " answers " + id
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Lagoonkeel-Request-Id: %s\r\nX-Lagoonkeel-Response-Signature: sig.%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(text), text)
}

// list returns the requests that the target ran.
func (t *target) list() []*arrival {
	t.mu.Lock()
	defer t.mu.Unlock()

	return append([]*arrival(nil), t.ran...)
}
