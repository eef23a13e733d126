// Package standin provides small stand-ins for the platform, upstreams and callers in
// tests and demos. The faults of the platform and of upstreams are set over HTTP.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	headerTimeout = 10 * time.Second
	stopTimeout   = time.Second
)

// Handler serves the HTTP requests of one stand-in.
type Handler = http.Handler

// Server is a running stand-in.
type Server struct {
	ln     net.Listener
	server *http.Server
}

// Listen listens on the TCP address for a stand-in.
func Listen(address string, h Handler) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", address)
	}

	return &Server{
		ln: ln,
		server: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: headerTimeout,
		},
	}, nil
}

// Address returns the address that the stand-in listens on.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Run serves until ctx ends. It does not wait for open requests, whose connections are
// closed after stopTimeout.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		if s.server.Shutdown(end) != nil {
			_ = s.server.Close() // Closes the connections of requests that are still open.
		}
	})
	defer stop()
	if err := s.server.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serving the stand-in")
	}

	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // The client may have disconnected.
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return false
	}

	return true
}
