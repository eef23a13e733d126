package rig

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Result is what a consumer has seen of one attempt.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
	// Err is set where no whole answer came.
	Err error
}

// String describes the result.
func (r Result) String() string {
	if r.Err != nil {
		return fmt.Sprintf("status=%d error=%q", r.Status, r.Err)
	}
	return fmt.Sprintf("status=%d bytes=%d signed=%v outcome=%q", r.Status, len(r.Body),
		r.Header.Get("X-Lagoonkeel-Response-Signature") != "", r.Header.Get("Lagoonkeel-Outcome"))
}

// host is the host of all routes, and key the key of the tenant "guides".
const (
	host = "demo.example"
	key  = "ctnfzs989anu6wsjnban"
)

// head returns the header of a request with a body of n bytes.
func head(key, method, path, id string, deadline time.Duration, n int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Lagoonkeel-Request-Id: %s\r\nX-Lagoonkeel-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n",
		method, path, host, id, deadline.Milliseconds(), key)
	if n > 0 || method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", n)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// send sends one request on a new connection and reads the answer.
func send(l *Log, v *VM, method, path, id string, deadline time.Duration, body []byte) Result {
	return sendWith(l, v, key, method, path, id, deadline, body)
}

// sendWith sends one request with the key on a new connection and reads the answer.
func sendWith(l *Log, v *VM, key, method, path, id string, deadline time.Duration, body []byte) Result {
	l.Add("consumer", v.Name, "sent id=%s method=%s path=%s bytes=%d", id, method, path, len(body))
	r := exchange(v.Callers, key, method, path, id, deadline, body)
	l.Add("consumer", v.Name, "answered id=%s %s", id, r)
	return r
}

func exchange(address, key, method, path, id string, deadline time.Duration, body []byte) Result {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Result{Err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	if _, err := c.Write(append(head(key, method, path, id, deadline, len(body)), body...)); err != nil {
		return Result{Err: err}
	}
	return readAnswer(bufio.NewReader(c), method)
}

func readAnswer(r *bufio.Reader, method string) Result {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return Result{Err: err}
	}
	data, err := io.ReadAll(resp.Body)
	return Result{Status: resp.StatusCode, Header: resp.Header, Body: data, Err: err}
}
