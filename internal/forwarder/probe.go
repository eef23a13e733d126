package forwarder

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// probeTimeout bounds the check whether a target refuses connections.
	probeTimeout = 500 * time.Millisecond
	// probeInterval is the pause between two connections of one check.
	probeInterval = 5 * time.Millisecond
	// probeOpenTime is how long an accepted connection must stay open to show that
	// the target is running. A process that exits on a busy machine may take tens
	// of milliseconds to close it.
	probeOpenTime = 100 * time.Millisecond
)

// dialFunc opens a connection to the target that is examined.
type dialFunc func(ctx context.Context) (net.Conn, error)

// refuses reports whether a new connection is refused. A process that exits may still
// accept a connection after it has closed others and before it closes its listener. Such
// a connection ends soon, or is reset while it is opened, so refuses connects again until
// a connection is refused or stays open. It returns false if neither happens within
// probeTimeout or the target cannot be reached.
func refuses(ctx context.Context, dial dialFunc) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for ; ctx.Err() == nil; time.Sleep(probeInterval) {
		conn, err := dial(ctx)
		switch {
		case errors.Is(err, unix.ECONNREFUSED):
			return true
		case errors.Is(err, unix.ECONNRESET), errors.Is(err, unix.ECONNABORTED):
			continue // The listener was closed while the connection was opened.
		case err != nil:
			return false
		case staysOpen(conn):
			return false
		}
	}

	return false
}

// staysOpen reports whether the peer leaves a new connection open for
// probeOpenTime, and closes it.
func staysOpen(conn net.Conn) bool {
	defer conn.Close() //nolint:errcheck // Nothing was sent on it.
	if err := conn.SetReadDeadline(time.Now().Add(probeOpenTime)); err != nil {
		return false
	}
	_, err := conn.Read(make([]byte, 1))

	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
