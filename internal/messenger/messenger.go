// Package messenger implements the RPC clients and servers by which VMs call each
// other, with drpc over TCP, and the conversion of their messages.
package messenger

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
)

const (
	// dialTimeout is the time limit for opening a connection to a peer.
	dialTimeout = 500 * time.Millisecond
	// idleExpiration is the time after which an unused connection is closed.
	idleExpiration = 10 * time.Second
	// peerConnections is the maximum number of idle connections to one peer. A
	// connection carries one call at a time.
	peerConnections = 16
)

// Server serves the calls of other VMs.
type Server struct {
	ln  net.Listener
	mux *drpcmux.Mux
}

// NewServer returns a server without services on the listener.
func NewServer(ln net.Listener) *Server {
	return &Server{
		ln:  ln,
		mux: drpcmux.New(),
	}
}

// Mux returns the mux, with which services must be registered before Run.
func (s *Server) Mux() drpc.Mux { return s.mux }

// Name returns the controller's name.
func (s *Server) Name() string { return "peers" }

// Run serves calls until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return errors.Wrap(drpcserver.New(s.mux).Serve(ctx, s.ln), "serving peers")
}

// Pool is a pool of connections to other VMs. It is safe for concurrent use.
type Pool struct {
	pool   *drpcpool.Pool[string, drpcpool.Conn]
	dialer net.Dialer
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleExpiration,
			KeyCapacity: peerConnections,
		}),
		dialer: net.Dialer{
			Timeout: dialTimeout,
		},
	}
}

// Conn returns a handle for calls to the peer listener at the address. Each call
// takes an idle connection from the pool, or opens one if there is none, and returns
// it afterwards.
func (p *Pool) Conn(ctx context.Context, address string) drpc.Conn {
	return p.pool.Get(ctx, address, p.dial)
}

// Close closes every idle connection.
func (p *Pool) Close() error {
	return errors.Wrap(p.pool.Close(), "closing connections to peers")
}

func (p *Pool) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connecting to a peer")
	}

	return drpcconn.New(conn), nil
}
