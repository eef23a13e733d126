package filterer

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
)

// sampleEvery is the number of plain successes of which one is logged.
const sampleEvery = 16

type eventLog interface {
	Log(e logger.Event, attributes ...logger.Attribute)
}

// Journal logs what became of a request and why: every one that failed, was
// refused, was tried more than once or was left by its caller, and a sample of
// the others.
type Journal struct {
	log eventLog
	// idField is the field that identifies a request.
	idField string
	clock   clock
	// served counts plain successes.
	served atomic.Uint64
}

// NewJournal returns the filter; the field identifies a request.
func NewJournal(l eventLog, idField string, c clock) *Journal {
	return &Journal{
		log:     l,
		idField: idField,
		clock:   c,
	}
}

// Name returns the filter's name.
func (j *Journal) Name() string { return "journal" }

// Handle logs the request after it was handled.
func (j *Journal) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	id := x.Request().Fields().Get(j.idField)
	err := next.Serve(ctx, x)
	event, plain := eventOf(ctx, x, err)
	if plain && j.served.Add(1)%sampleEvery != 1 {
		return err
	}
	j.log.Log(event, append(facts(id, x), j.result(x, err)...)...)

	return err
}

// eventOf returns the event of the result, and whether it is a plain success.
func eventOf(ctx context.Context, x *handler.Exchange, err error) (logger.Event, bool) {
	switch {
	case ctx.Err() != nil:
		return logger.RequestLeft, false
	case err != nil:
		return logger.RequestRefused, false
	case failedAnswer(x.Response().Status()):
		return logger.RequestFailed, false
	case len(x.History()) > 1:
		return logger.RequestRepeated, false
	default:
		return logger.RequestServed, true
	}
}

// facts returns what decided about the request.
func facts(id string, x *handler.Exchange) []logger.Attribute {
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

// result returns what came of the request.
func (j *Journal) result(x *handler.Exchange, err error) []logger.Attribute {
	now := j.clock.Now()
	list := []logger.Attribute{logger.Millis("took", now.Sub(x.Arrived()))}
	if x.Deadline() != 0 {
		list = append(list, logger.Millis("left", x.Deadline().Sub(now)))
	}
	if len(x.History()) > 0 {
		list = append(list, logger.Text("attempts", trailText(x.History())))
	}
	if s := x.Stop(); s != handler.StopNone && s != handler.StopSettled {
		list = append(list, logger.Text("stopped", string(s)))
	}
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

// trailText renders attempts as target:result:milliseconds:risk, with a mark for
// those whose target was chosen since nobody had used it.
func trailText(trail []handler.AttemptRecord) string {
	parts := make([]string, len(trail))
	for i, s := range trail {
		a := s.Attempt()
		result := string(a.Fault())
		if a.Response() != nil {
			result = strconv.Itoa(a.Status())
		}
		parts[i] = fmt.Sprintf("%s:%s:%dms:risk=%.2f", a.Target().Name(), result, a.FirstByte().Milliseconds(), s.Risk())
		if s.Trial() {
			parts[i] += ":trial"
		}
	}

	return strings.Join(parts, " ")
}
