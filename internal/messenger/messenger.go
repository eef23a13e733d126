// Package messenger carries calls between VMs by drpc over TCP.
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
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = 500 * time.Millisecond
	// idleExpiration bounds how long an unused connection is kept.
	idleExpiration = 10 * time.Second
	// peerConnections bounds the idle connections to one peer; a connection
	// carries one call at a time.
	peerConnections = 16
)

// Server answers the calls of peers.
type Server struct {
	ln  net.Listener
	mux *drpcmux.Mux
}

// NewServer returns a server on the listener without services.
func NewServer(ln net.Listener) *Server {
	return &Server{
		ln:  ln,
		mux: drpcmux.New(),
	}
}

// Mux returns the mux that services register with before Run.
func (s *Server) Mux() drpc.Mux { return s.mux }

// Name returns the controller's name.
func (s *Server) Name() string { return "peers" }

// Run answers calls until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return errors.Wrap(drpcserver.New(s.mux).Serve(ctx, s.ln), "serving peers")
}

// Pool holds connections to peers. It is safe for concurrent use.
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

// Conn returns a connection to the peer listener at the address. It is opened
// by the first call on it, and shared by later ones.
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
		return nil, errors.Wrap(err, "calling a peer")
	}

	return drpcconn.New(conn), nil
}
