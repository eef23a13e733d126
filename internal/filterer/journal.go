package filterer

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
)

// sampleEvery is the sampling interval of ordinary successes: one in this many
// is logged.
const sampleEvery = 16

// longWait is the wait in the queue from which on it is logged.
const longWait = 50 * time.Millisecond

type eventLog interface {
	Log(e logger.Event, attributes ...logger.Attribute)
}

// Journal logs the result of requests and the data behind it. It logs every
// request that failed, was refused, took more than one attempt or was canceled
// by its caller, and a sample of the others.
type Journal struct {
	log eventLog
	// idField names the header field that identifies a request.
	idField string
	clock   clock
	// served counts ordinary successes.
	served atomic.Uint64
}

// NewJournal returns the filter. The header field idField identifies a request.
func NewJournal(l eventLog, idField string, c clock) *Journal {
	return &Journal{
		log:     l,
		idField: idField,
		clock:   c,
	}
}

// Name returns the filter's name.
func (j *Journal) Name() string { return "journal" }

// Handle passes the request on and logs its result.
func (j *Journal) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	id := x.Request().Fields().Get(j.idField)
	err := next.Serve(ctx, x)
	event, ordinary := eventOf(ctx, x, err)
	if ordinary && j.served.Add(1)%sampleEvery != 1 {
		return err
	}
	j.log.Log(event, append(requestAttributes(id, x), j.resultAttributes(x, err)...)...)

	return err
}

// eventOf returns the log event for the result, and whether the result is an
// ordinary success.
func eventOf(ctx context.Context, x *handler.Exchange, err error) (logger.Event, bool) {
	switch {
	case ctx.Err() != nil:
		return logger.RequestLeft, false
	case err != nil:
		return logger.RequestRefused, false
	case failedStatus(x.Response().Status()):
		return logger.RequestFailed, false
	case len(x.History()) > 1:
		return logger.RequestRepeated, false
	default:
		return logger.RequestServed, true
	}
}

// requestAttributes returns the log attributes that describe the request.
func requestAttributes(id string, x *handler.Exchange) []logger.Attribute {
	list := []logger.Attribute{logger.Text("id", id)}
	if m := x.Manifest(); m != nil {
		list = append(list, logger.Int("version", int64(m.Version())))
	}
	if x.Team() != nil {
		list = append(list, logger.Text("team", x.Team().Name()))
	}
	if x.Route() != nil {
		list = append(list, logger.Text("route", x.Route().Name()), logger.Text("service", x.Service().Name()),
			logger.Flag("repeatable", x.Idempotent()))
	}

	return list
}

// resultAttributes returns the log attributes that describe the result.
func (j *Journal) resultAttributes(x *handler.Exchange, err error) []logger.Attribute {
	now := j.clock.Now()
	list := []logger.Attribute{logger.Millis("took", now.Sub(x.Arrived()))}
	if x.Deadline() != 0 {
		list = append(list, logger.Millis("left", x.Deadline().Sub(now)))
	}
	if x.Waited() >= longWait {
		list = append(list, logger.Millis("waited", x.Waited()))
	}
	if len(x.History()) > 0 {
		list = append(list, logger.Text("attempts", formatHistory(x.History())))
	}
	if s := x.Stop(); s != handler.StopNone && s != handler.StopFinal {
		list = append(list, logger.Text("stopped", string(s)))
	}
	list = append(list, spacingAttributes(x)...)
	var r *handler.Refusal
	switch {
	case errors.As(err, &r):
		list = append(list, logger.Int("status", int64(r.Status())), logger.Text("code", string(r.Code())),
			logger.Text("outcome", string(r.Outcome())), logger.Text("reason", r.Reason()), logger.Millis("retryAfter", r.RetryAfter()))
		if r.Basis() != "" {
			list = append(list, logger.Text("basis", r.Basis()))
		}
	case err != nil:
		list = append(list, logger.Failure(err))
	default:
		list = append(list, logger.Int("status", int64(x.Response().Status())))
	}

	return list
}

// formatHistory formats attempts as target:result:12ms:risk=0.10. It appends
// :trial to those whose target was preferred because it had received no recent
// requests, and then :hedge to those made while an earlier one was in flight.
func formatHistory(history []handler.AttemptRecord) string {
	parts := make([]string, len(history))
	for i, r := range history {
		a := r.Attempt()
		result := string(a.Fault())
		if a.Response() != nil {
			result = strconv.Itoa(a.Status())
		}
		parts[i] = fmt.Sprintf("%s:%s:%dms:risk=%.2f", a.Target().Name(), result, a.FirstByte().Milliseconds(), r.Risk())
		if r.Trial() {
			parts[i] += ":trial"
		}
		if r.Hedge() {
			parts[i] += ":hedge"
		}
	}

	return strings.Join(parts, " ")
}
