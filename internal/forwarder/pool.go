package forwarder

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/lagoonkeel/lagoonkeel/internal/dialer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// dialTimeout bounds the opening of a connection: targets are a few
	// milliseconds away, and another may be tried.
	dialTimeout = 300 * time.Millisecond
	// maxIdleAge bounds how long a connection may wait for its next request.
	maxIdleAge = 10 * time.Second
	// recentUse bounds the idle time of a connection that may carry a request
	// that is not idempotent: it was seen to work that recently.
	recentUse = 250 * time.Millisecond
	// maxIdle bounds the idle connections to one target.
	maxIdle = 8
	// sweepPeriod is the time between two looks for old connections.
	sweepPeriod = 2 * time.Second
	// userTimeout bounds how long sent bytes may stay without acknowledgement.
	userTimeout = 3 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveProbes find peers that
	// went away without a word within some six seconds.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// distrustTime is how long connections to a target are used only once
	// after a byte came on an idle one.
	distrustTime = 30 * time.Second
	// probeTimeout bounds a look whether a target takes connections.
	probeTimeout = 500 * time.Millisecond
	// probePause is the time between two connections of one look.
	probePause = 5 * time.Millisecond
	// probeWatch is how long a connection that was taken must stay open. A
	// process that ends on a busy machine needs some tens of milliseconds.
	probeWatch = 100 * time.Millisecond
)

// pool holds the connections to all targets.
type pool struct {
	timers ticker
	bound  bounder
	dialer *net.Dialer
	// mu guards targets and all that they hold; it is never held during I/O.
	mu      sync.Mutex
	targets map[string]*endpoint
}

// endpoint holds the connections to one address.
type endpoint struct {
	// idle holds the open connections without a request, the last used last.
	idle []*connection
	// open counts idle and busy connections.
	open int
	// distrusted is the instant until which no connection is kept.
	distrusted timer.Instant
}

func newPool(t ticker, bound bounder) *pool {
	return &pool{
		timers: t,
		bound:  bound,
		dialer: dialer.New(dialer.Spec{
			Timeout:     dialTimeout,
			UserTimeout: userTimeout,
			Idle:        keepAliveIdle,
			Interval:    keepAliveInterval,
			Probes:      keepAliveProbes,
		}),
		targets: map[string]*endpoint{},
	}
}

// take returns a connection for one request, which must be kept or discarded
// once.
func (p *pool) take(ctx context.Context, target *manifester.Target, left time.Duration, need freshness) (*connection, handler.Fault) {
	address := target.Address()
	if need != fresh {
		if c := p.reuse(address, need); c != nil {
			return c, handler.FaultNone
		}
	}
	if !p.reserve(address, p.bound(target)) {
		return nil, handler.FaultBusy
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

// reuse returns an idle connection that is open and silent, or nil.
func (p *pool) reuse(address string, need freshness) *connection {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		age := p.timers.Now().Sub(c.idleSince)
		if need == recentlyUsed && age > recentUse {
			if !p.push(address, c) { // The last used comes first: no other is younger.
				p.discard(address, c)
			}

			return nil
		}
		state := c.look()
		if state == idleOpen && age < maxIdleAge {
			c.written.Store(0)

			return c
		}
		if state == idleBytes {
			p.distrust(address)
		}
		p.discard(address, c)
	}
}

func (p *pool) pop(address string) *connection {
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

// endpoint returns the endpoint of the address; the lock must be held.
func (p *pool) endpoint(address string) *endpoint {
	e, ok := p.targets[address]
	if !ok {
		e = &endpoint{}
		p.targets[address] = e
	}

	return e
}

// reserve counts one more connection, at the cost of an idle one at the bound.
func (p *pool) reserve(address string, bound int) bool {
	p.mu.Lock()
	e := p.endpoint(address)
	var oldest *connection
	if e.open >= bound {
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
		oldest.kill()
	}

	return true
}

func (p *pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoint(address)
	e.open--
	if e.open == 0 && len(e.idle) == 0 && !e.distrusted.After(p.timers.Now()) {
		delete(p.targets, address)
	}
}

// keep makes the connection idle, unless the target has enough of them.
func (p *pool) keep(address string, c *connection) {
	c.reused = true
	c.idleSince = p.timers.Now()
	_ = c.conn.SetDeadline(time.Time{}) // A closed connection is found at its next use.
	if !p.push(address, c) {
		p.discard(address, c)
	}
}

// push adds an idle connection and reports whether it was taken.
func (p *pool) push(address string, c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoint(address)
	if len(e.idle) >= maxIdle || e.distrusted.After(p.timers.Now()) {
		return false
	}
	e.idle = append(e.idle, c)

	return true
}

func (p *pool) discard(address string, c *connection) {
	c.kill()
	p.release(address)
}

// distrust keeps no connection to the address for a while, after bytes came
// on an idle one.
func (p *pool) distrust(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoint(address).distrusted = p.timers.Now().Add(distrustTime)
}

// flush closes every idle connection to the address.
func (p *pool) flush(address string) {
	for c := p.pop(address); c != nil; c = p.pop(address) {
		p.discard(address, c)
	}
}

// refuses reports whether a new connection to the address is refused. A process
// that ends may still take a connection between closing others and closing its
// listener; such a connection ends at once, and the next is refused.
func (p *pool) refuses(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for ; ctx.Err() == nil; time.Sleep(probePause) {
		conn, err := p.dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return errors.Is(err, unix.ECONNREFUSED)
		}
		if staysOpen(conn) {
			return false
		}
	}

	return false
}

// staysOpen reports whether the peer leaves a new connection open for a moment,
// and closes it.
func staysOpen(conn net.Conn) bool {
	defer conn.Close() //nolint:errcheck // Nothing was sent on it.
	if err := conn.SetReadDeadline(time.Now().Add(probeWatch)); err != nil {
		return false
	}
	_, err := conn.Read(make([]byte, 1))

	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// run closes old idle connections until ctx ends, then all idle ones.
func (p *pool) run(ctx context.Context) error {
	p.timers.Every(sweepPeriod).Each(ctx, func(timer.Instant) { p.sweep(maxIdleAge) })
	p.sweep(0)

	return nil
}

// sweep closes the idle connections that are at least as old as age.
func (p *pool) sweep(age time.Duration) {
	now := p.timers.Now()
	for address, list := range p.old(now, age) {
		for _, c := range list {
			p.discard(address, c)
		}
	}
}

// old takes the idle connections of the age out of the pool.
func (p *pool) old(now timer.Instant, age time.Duration) map[string][]*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := map[string][]*connection{}
	for address, e := range p.targets {
		n := 0
		for n < len(e.idle) && now.Sub(e.idle[n].idleSince) >= age {
			n++
		}
		if n > 0 {
			found[address] = append(found[address], e.idle[:n]...)
			e.idle = e.idle[n:]
		}
	}

	return found
}
