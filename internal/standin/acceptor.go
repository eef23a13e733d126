package standin

import (
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
