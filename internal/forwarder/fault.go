package forwarder

import (
	"context"
	"io"
	"net"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/reserver"
)

// classify returns the fault of an attempt that ended with the error.
func classify(ctx context.Context, err error) handler.Fault {
	var unreadable *responseError
	var interim *interimError
	var timeout net.Error
	switch {
	case errors.Is(context.Cause(ctx), handler.ErrAbandoned):
		return handler.FaultSlow
	case ctx.Err() != nil:
		return handler.FaultCanceled
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return handler.FaultSlow
	case errors.As(err, &interim):
		return handler.FaultMalformed
	case errors.As(err, &unreadable):
		return classifyResponseError(unreadable.cause)
	default:
		return handler.FaultReset
	}
}

// classifyResponseError distinguishes a response that ended early or has no framing
// from one that is not valid HTTP or too large, and from one for which the VM has no
// memory.
func classifyResponseError(cause error) handler.Fault {
	var unframed *unframedError
	var op *net.OpError
	switch {
	case errors.Is(cause, reserver.ErrNoMemory):
		return handler.FaultNoMemory
	case errors.As(cause, &unframed), errors.As(cause, &op), errors.Is(cause, io.EOF), errors.Is(cause, io.ErrUnexpectedEOF):
		return handler.FaultTruncated
	default:
		return handler.FaultMalformed
	}
}
