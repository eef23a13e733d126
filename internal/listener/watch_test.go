package listener_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

// waitHandler is a chain that waits for the end of the context on /wait.
type waitHandler struct {
	entered  chan struct{}
	canceled chan struct{}
}

func (w *waitHandler) Serve(ctx context.Context, x *handler.Exchange) error {
	if x.Request().Path() == "/wait" {
		close(w.entered)
		select {
		case <-ctx.Done():
			close(w.canceled)
		case <-w.canceled:
		}
	}
	if ctx.Err() != nil && x.Request().Path() != "/wait" {
		return handler.NewRefusal(handler.CodeInternal, "the context was canceled while the caller was connected")
	}
	x.SetResponse(handler.NewResponse(http.StatusOK, []byte(x.Request().Path())))

	return nil
}

// TestCallerDisconnects checks that the context of a request is canceled when its caller
// closes the connection, but not by pipelined requests or on a reused connection.
func TestCallerDisconnects(t *testing.T) {
	w := &waitHandler{
		entered:  make(chan struct{}),
		canceled: make(chan struct{}),
	}
	address := startListener(t, w, longTimeout)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	for range 3 {
		if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		for _, want := range []string{"/a", "/b"} {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err != nil || string(body) != want {
				t.Errorf("got %q and %v, want %q", body, err, want)
			}
		}
	}
	if _, err := io.WriteString(c, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-w.entered
	c.Close()
	select {
	case <-w.canceled:
	case <-time.After(20 * time.Second):
		t.Error("the context was not canceled after the caller disconnected")
	}
}

// TestCallerLeavesBehindPipelinedRequests checks that the context of a request is canceled
// when its caller leaves, although bytes of further requests wait on the connection, and
// that these requests do not run.
func TestCallerLeavesBehindPipelinedRequests(t *testing.T) {
	for _, n := range []int{1, 100} {
		w := &waitHandler{
			entered:  make(chan struct{}),
			canceled: make(chan struct{}),
		}
		recorded := &recorder{next: w}
		c := dial(t, startListener(t, recorded, longTimeout))
		send(t, c, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
		<-w.entered
		send(t, c, strings.Repeat("GET /later HTTP/1.1\r\nHost: x\r\n\r\n", n))
		time.Sleep(50 * time.Millisecond) // The bytes arrive before the end of the connection.
		c.Close()
		select {
		case <-w.canceled:
		case <-time.After(500 * time.Millisecond):
			t.Errorf("%d further requests: the context was not canceled within half a second", n)
			close(w.canceled)
		}
		time.Sleep(50 * time.Millisecond)
		if ran := recorded.uncanceled("/later"); ran > 0 {
			t.Errorf("%d of %d further requests ran after their caller had left", ran, n)
		}
	}
}
