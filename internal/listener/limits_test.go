package listener_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// TestLimits compares the responses to requests within and beyond the limits with the
// golden file, before and after the configured limits change.
func TestLimits(t *testing.T) {
	limits := &variableLimits{}
	limits.set(manifester.LimitsSpec{})
	address := startWithLimits(t, echo{}, limits)
	header := func(n int) string {
		return "GET /a HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("v", n) + "\r\n\r\n"
	}
	body := func(n int) string {
		return fmt.Sprintf("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("b", n))
	}
	var out strings.Builder
	record := func(title string) {
		fmt.Fprintf(&out, "%s\n", title)
		for _, n := range []int{40, 90, 16000, 40000} {
			fmt.Fprintf(&out, " field of %d bytes\n%s", n, sendRaw(t, address, header(n), true))
		}
		for _, n := range []int{8, 9, 64, 65} {
			fmt.Fprintf(&out, " body of %d bytes\n%s", n, sendRaw(t, address, body(n), true))
		}
	}
	record("no configured limits")
	limits.set(manifester.LimitsSpec{Header: 100, Body: 8})
	record("limits below the VM's own")
	limits.set(manifester.LimitsSpec{Header: 1 << 20, Body: 1 << 20})
	record("limits above the VM's own")
	goldie.New(t).Assert(t, "limits", []byte(out.String()))
}

// idleCaller is a caller that keeps its connection open between requests.
type idleCaller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newIdleCaller(t *testing.T, address string) *idleCaller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	i := &idleCaller{
		conn:   c,
		reader: bufio.NewReader(c),
	}
	i.request(t)

	return i
}

// request sends a request and reads its response.
func (i *idleCaller) request(t *testing.T) {
	t.Helper()
	if _, err := io.WriteString(i.conn, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	r, err := http.ReadResponse(i.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		t.Fatal(err)
	}
}

// closedWithin reports whether the connection is closed within the time.
func (i *idleCaller) closedWithin(t *testing.T, d time.Duration) bool {
	t.Helper()
	if err := i.conn.SetReadDeadline(time.Now().Add(d)); err != nil {
		t.Fatal(err)
	}
	_, err := i.reader.Peek(1)
	if err := i.conn.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}

	return errors.Is(err, io.EOF)
}

// TestIdle checks that a connection waits for its next request for the idle timeout
// and no longer, also if the timeout is raised while it waits.
func TestIdle(t *testing.T) {
	const (
		short = 400 * time.Millisecond
		long  = 20 * time.Second
	)
	limits := &variableLimits{}
	limits.set(manifester.LimitsSpec{IdleTime: short})
	address := startWithLimits(t, echo{}, limits)
	if !newIdleCaller(t, address).closedWithin(t, 10*short) {
		t.Errorf("the connection is open long after the idle timeout")
	}
	caller := newIdleCaller(t, address)
	limits.set(manifester.LimitsSpec{IdleTime: long})
	if caller.closedWithin(t, 2*short) {
		t.Errorf("the connection was closed although the idle timeout was raised while it waited")
	}
	caller.request(t)
	limits.set(manifester.LimitsSpec{IdleTime: short})
	caller.request(t)
	if !caller.closedWithin(t, 10*short) {
		t.Errorf("the connection is open long after the lowered idle timeout")
	}
}

// TestSlowHeader checks that a caller that does not complete its header in time gets
// 408, and that the body may take longer than the header.
func TestSlowHeader(t *testing.T) {
	const headerTime = 300 * time.Millisecond
	limits := &variableLimits{}
	limits.set(manifester.LimitsSpec{HeaderTime: headerTime})
	address := startWithLimits(t, echo{}, limits)
	if got := sendRaw(t, address, "GET /a HTTP/1.1\r\nHost: x\r\n", false); !strings.Contains(got, "408") {
		t.Errorf("an incomplete header got %q", got)
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * headerTime)
	if _, err := io.WriteString(c, "cd"); err != nil {
		t.Fatal(err)
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		t.Errorf("a body that arrived after the header timeout got %d", r.StatusCode)
	}
}
