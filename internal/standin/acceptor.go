package standin

import (
	"fmt"
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

// Accept listens on a free port of the loopback interface, and calls serve with each
// connection until the listener is closed. Serve owns the connection.
func Accept(serve func(net.Conn)) (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listening on the loopback interface")
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()

	return ln, nil
}

// requestBytes bounds the bytes of a request that Respond reads.
const requestBytes = 4 << 10

// Respond returns a function for Accept. It reads a small request, sends the text and closes
// the connection.
func Respond(text string) func(net.Conn) {
	return func(c net.Conn) {
		_, _ = c.Read(make([]byte, requestBytes)) // The text is sent in any case.
		_, _ = io.WriteString(c, text)            // The client may have disconnected.
		_ = c.Close()
	}
}

// BrokenResponses returns responses with the body or, where it is cut off, its first cut
// bytes. The first two are whole; the others are cut off or not valid.
func BrokenResponses(body string, cut int) []string {
	length := fmt.Sprintf("Length: %d\r\n", len(body))

	return []string{
		"HTTP/1.1 200 OK\r\nContent-" + length + "\r\n" + body,
		"HTTP/1.1 200 OK\r\n\r\n" + body,
		"HTTP/1.1 200 OK\r\n\r\n" + body[:cut],
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-" + length + "\r\n" + body[:cut],
		"HTTP/1.1 200 OK\r\nContent " + length + "\r\n" + body[:cut],
		"HTTP/1.1 000 OK\r\nContent-" + length + "\r\n" + body,
		"HTTP/1.1 200 OK\r\nX: y\r\n\nContent-" + length + "\r\n" + body,
	}
}
