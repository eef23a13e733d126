package forwarder

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/dialer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// dialTimeout bounds the opening of a connection. It is short because targets
	// are a few milliseconds away and another target may be tried.
	dialTimeout = 300 * time.Millisecond
	// maxIdleTime bounds how long a connection may wait for its next request.
	maxIdleTime = 10 * time.Second
	// maxRecentIdleTime bounds the idle time of a connection that may carry a
	// request that is not idempotent. A connection that worked so recently is
	// unlikely to be broken.
	maxRecentIdleTime = 250 * time.Millisecond
	// maxIdleConnections bounds the idle connections to one target.
	maxIdleConnections = 8
	// sweepInterval is the time between two searches for connections to close.
	sweepInterval = 2 * time.Second
	// userTimeout bounds how long sent bytes may stay without acknowledgement.
	userTimeout = 3 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveProbes detect within about
	// six seconds that a peer vanished without closing the connection.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// idleSuspension is how long connections to a target are closed after use
	// rather than kept idle, once bytes have arrived on an idle one.
	idleSuspension = 30 * time.Second
)

// pool holds the connections to all targets.
type pool struct {
	clock  ticker
	limit  connectionLimit
	dialer *net.Dialer
	// mu guards endpoints and all that they contain. It is never held during I/O.
	mu        sync.Mutex
	endpoints map[string]*endpoint
}

// endpoint holds the connections to one address.
type endpoint struct {
	// idle holds the open connections without a request, the most recently used
	// last.
	idle []*connection
	// open counts the connections that are idle, in use or being opened.
	open int
	// noIdleUntil is the instant until which connections are closed after use
	// rather than kept idle.
	noIdleUntil timer.Instant
}

func newPool(t ticker, limit connectionLimit) *pool {
	return &pool{
		clock: t,
		limit: limit,
		dialer: dialer.New(dialer.Spec{
			Timeout:     dialTimeout,
			UserTimeout: userTimeout,
			Idle:        keepAliveIdle,
			Interval:    keepAliveInterval,
			Probes:      keepAliveProbes,
		}),
		endpoints: map[string]*endpoint{},
	}
}

// acquire returns a connection for one request with the caller's id. The caller of acquire
// must pass it to putIdle or discard once.
func (p *pool) acquire(ctx context.Context, target *manifester.Target, left time.Duration, policy reusePolicy, requestID string) (*connection, handler.Fault) {
	address := target.Address()
	if policy != reuseNone {
		if c := p.reuse(address, policy, requestID); c != nil {
			return c, handler.FaultNone
		}
	}
	if !p.reserve(address, p.limit(target)) {
		return nil, handler.FaultConnectionLimit
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(address)

		return nil, handler.FaultConnect
	}

	return newConnection(conn), handler.FaultNone
}

// reuse returns an idle connection that the policy allows, or nil. It discards
// the unusable ones that it finds. A connection does not carry a request with the same id
// twice in a row: a second copy of the first response would not be recognized.
func (p *pool) reuse(address string, policy reusePolicy, requestID string) *connection {
	for {
		c := p.popIdle(address)
		if c == nil {
			return nil
		}
		idle := p.clock.Now().Sub(c.idleSince)
		if policy == reuseRecent && idle > maxRecentIdleTime {
			if !p.pushIdle(address, c) { // All others have been idle for longer.
				p.discard(address, c)
			}

			return nil
		}
		state := c.checkIdle()
		if state == idleOpen && idle < maxIdleTime && (requestID == "" || c.requestID != requestID) {
			c.written.Store(0)

			return c
		}
		if state == idleUnexpectedData {
			p.suspendIdle(address)
		}
		p.discard(address, c)
	}
}

func (p *pool) popIdle(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoint(address)
	if len(e.idle) == 0 {
		return nil
	}
	c := e.idle[len(e.idle)-1]
	e.idle = e.idle[:len(e.idle)-1]

	return c
}

// endpoint returns the endpoint of the address. The caller must hold mu.
func (p *pool) endpoint(address string) *endpoint {
	e, ok := p.endpoints[address]
	if !ok {
		e = &endpoint{}
		p.endpoints[address] = e
	}

	return e
}

// reserve counts one more connection to the address. If the limit is reached, it
// closes the connection that has been idle for longest; it returns false if none
// is idle.
func (p *pool) reserve(address string, limit int) bool {
	p.mu.Lock()
	e := p.endpoint(address)
	var oldest *connection
	if e.open >= limit {
		if len(e.idle) == 0 {
			p.mu.Unlock()

			return false
		}
		oldest = e.idle[0]
		e.idle = e.idle[1:]
		e.open--
	}
	e.open++
	p.mu.Unlock()
	if oldest != nil {
		oldest.abort()
	}

	return true
}

// release subtracts one connection to the address from the count.
func (p *pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoint(address)
	e.open--
	if e.open == 0 && len(e.idle) == 0 && !e.noIdleUntil.After(p.clock.Now()) {
		delete(p.endpoints, address)
	}
}

// putIdle makes the connection available to later requests, or discards it if
// the address has enough idle connections or may have none for now.
func (p *pool) putIdle(address string, c *connection) {
	c.reused = true
	c.idleSince = p.clock.Now()
	_ = c.conn.SetDeadline(time.Time{}) // checkIdle detects a closed connection.
	if !p.pushIdle(address, c) {
		p.discard(address, c)
	}
}

// pushIdle adds an idle connection and reports whether it was accepted.
func (p *pool) pushIdle(address string, c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoint(address)
	if len(e.idle) >= maxIdleConnections || e.noIdleUntil.After(p.clock.Now()) {
		return false
	}
	e.idle = append(e.idle, c)

	return true
}

// discard closes the connection and no longer counts it.
func (p *pool) discard(address string, c *connection) {
	c.abort()
	p.release(address)
}

// suspendIdle lets no further connection to the address become idle for
// idleSuspension. Connections that are idle already may still be reused.
func (p *pool) suspendIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoint(address).noIdleUntil = p.clock.Now().Add(idleSuspension)
}

// closeIdle closes every idle connection to the address.
func (p *pool) closeIdle(address string) {
	for c := p.popIdle(address); c != nil; c = p.popIdle(address) {
		p.discard(address, c)
	}
}

// refusesConnections reports whether new connections to the address are refused.
func (p *pool) refusesConnections(ctx context.Context, address string) bool {
	return refuses(ctx, func(ctx context.Context) (net.Conn, error) {
		return p.dialer.DialContext(ctx, "tcp", address)
	})
}

// run closes connections that have been idle for maxIdleTime until ctx ends, then
// all idle ones.
func (p *pool) run(ctx context.Context) error {
	p.clock.Every(sweepInterval).Each(ctx, func(timer.Instant) { p.sweep(maxIdleTime) })
	p.sweep(0)

	return nil
}

// sweep closes the connections that have been idle for at least minIdle.
func (p *pool) sweep(minIdle time.Duration) {
	now := p.clock.Now()
	for address, list := range p.popExpired(now, minIdle) {
		for _, c := range list {
			p.discard(address, c)
		}
	}
}

// popExpired removes the connections that have been idle for at least minIdle and
// returns them by address.
func (p *pool) popExpired(now timer.Instant, minIdle time.Duration) map[string][]*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	expired := map[string][]*connection{}
	for address, e := range p.endpoints {
		n := 0
		for n < len(e.idle) && now.Sub(e.idle[n].idleSince) >= minIdle {
			n++
		}
		if n > 0 {
			expired[address] = append(expired[address], e.idle[:n]...)
			e.idle = e.idle[n:]
		}
	}

	return expired
}
