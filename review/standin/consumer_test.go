package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// patience is how long a consumer waits for an answer.
	patience = 15 * time.Second
	// dialTimeout is how long a consumer allows a new connection.
	dialTimeout = time.Second
)

// consumer is a consumer with one connection.
type consumer struct {
	conn   net.Conn
	reader *bufio.Reader
	record *record
}

func (e *environment) connect(v *vm) (*consumer, error) {
	c, err := net.DialTimeout("tcp", v.callers, dialTimeout)
	if err != nil {
		return nil, err
	}

	return &consumer{
		conn:   c,
		reader: bufio.NewReader(c),
		record: e.record,
	}, nil
}

func (c *consumer) close() { c.conn.Close() }

// send sends requests at once.
func (c *consumer) send(texts ...string) error {
	all := ""
	for _, t := range texts {
		c.record.logf("a consumer sends %q", t)
		all += t
	}
	_, err := io.WriteString(c.conn, all)

	return err
}

// receive reads the next answer and returns its status; 0 if the connection ended without
// a whole answer.
func (c *consumer) receive(id string) int {
	c.conn.SetReadDeadline(time.Now().Add(patience))
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.record.logf("the consumer of %s gets no answer: %v", id, err)

		return 0
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		c.record.logf("the consumer of %s gets part of an answer: %v", id, err)

		return 0
	}
	c.record.logf("the consumer of %s gets status %d, body %.80q, close=%v", id, r.StatusCode, body, r.Close)

	return r.StatusCode
}

// ask sends a request on a new connection and returns the status of its answer, or 0.
func (e *environment) ask(v *vm, q request) int {
	c, err := e.connect(v)
	if err != nil {
		e.record.logf("the consumer of %s could not connect: %v", q.id, err)

		return 0
	}
	defer c.close()
	if err := c.send(q.text()); err != nil {
		e.record.logf("the consumer of %s could not send: %v", q.id, err)

		return 0
	}

	return c.receive(q.id)
}

// The keys of the tenants guides and hostels.
const (
	guidesKey  = "ctnfzs989anu6wsjnban"
	hostelsKey = "fqasnmgkcuyj8pjbvk9m"
)

// request is a request with the key of guides, unless it names another.
type request struct {
	method string
	path   string
	id     string
	key    string
	// field is a further line of the header.
	field string
	body  string
}

func (q request) text() string {
	if q.key == "" {
		q.key = guidesKey
	}
	if q.field != "" {
		q.field += "\r\n"
	}
	if q.body != "" {
		q.field += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}

	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: hulo84.example\r\nX-Lagoonkeel-Request-Id: %s\r\nX-Lagoonkeel-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n%s\r\n%s",
		q.method, q.path, q.id, patience.Milliseconds(), q.key, q.field, q.body)
}

// configText returns a configuration of the version with two tenants: guides has a key, and
// hostels has the given keys, as a JSON list. It has the given number of further routes.
func configText(version int, hostelsKeys string, further int) string {
	const route = `"r-more-%d":{"host":"hulo84.example","pathPrefix":"/more-%d/%d/","kind":"safe","timeoutMs":12000,"aimMs":2000,"priority":2,` +
		`"trafficSplit":[{"service":"fieldbook","weight":90},{"service":"bookings","weight":10}],"maxAttempts":2,"public":false},`
	var routes strings.Builder
	for i := range further {
		fmt.Fprintf(&routes, route, i, i, version)
	}

	return fmt.Sprintf(`{"version":%d,"routes":{%s`+
		`"r-seats":{"host":"hulo84.example","pathPrefix":"/seats/","kind":"unsafe","timeoutMs":4000,"aimMs":1200,"priority":1,"service":"bookings","maxAttempts":2,"public":false},`+
		`"r-notes":{"host":"hulo84.example","pathPrefix":"/notes/","kind":"safe","timeoutMs":12000,"aimMs":2000,"priority":2,"service":"fieldbook","maxAttempts":2,"public":false}},`+
		`"services":{"bookings":{"healthCheck":"/health","maxConnections":390,"protocol":"h1","tls":false},"fieldbook":{"healthCheck":"/health","maxConnections":390,"protocol":"h1","tls":false}},`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":{"guides":{"apiKeys":[%q],"priority":1,"ratePerS":400,"burst":400},"hostels":{"apiKeys":%s,"priority":1,"ratePerS":400,"burst":400}}}`,
		version, routes.String(), guidesKey, hostelsKeys)
}
