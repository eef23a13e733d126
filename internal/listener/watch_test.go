package listener_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

// waiting is a chain that waits for the caller's end on /wait.
type waiting struct {
	entered chan struct{}
	gone    chan struct{}
}

func (w *waiting) Serve(ctx context.Context, x *handler.Exchange) error {
	if x.Request().Path() == "/wait" {
		close(w.entered)
		<-ctx.Done()
		close(w.gone)
	}
	if ctx.Err() != nil && x.Request().Path() != "/wait" {
		return handler.NewRefusal(handler.CodeInternal, "canceled without cause")
	}
	x.SetResponse(handler.NewResponse(http.StatusOK, []byte(x.Request().Path())))

	return nil
}

// TestCallerGone checks that the context of a request ends when its caller
// closes the connection, and only then: requests that are sent ahead of their
// turn and kept connections go on.
func TestCallerGone(t *testing.T) {
	w := &waiting{
		entered: make(chan struct{}),
		gone:    make(chan struct{}),
	}
	address := start(t, w, patience)
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
	case <-w.gone:
	case <-time.After(20 * time.Second):
		t.Error("the request's context did not end with its caller")
	}
}
