package evacuator

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// retryPause is the time between two calls after one that failed.
	retryPause = 250 * time.Millisecond
	// DefaultWait is the default time for which a writer calls the store.
	DefaultWait = 30 * time.Second
	// maxKeyBytes is the length of the longest key that the store accepts.
	maxKeyBytes = 255
)

// evacuationValue is the value of the records that begin an evacuation. The readers accept
// any value; a record without one ends the evacuation.
const evacuationValue = "{}"

// topic is the topic that operators write.
type topic interface {
	// Put appends a record that sets the value of the key; a nil value removes the key. A
	// call that fails without a status may be executed all the same, also later.
	Put(ctx context.Context, key string, value []byte) error
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (subscriber.Snapshot, error)
}

type clock interface {
	Now() timer.Instant
	After(d time.Duration) *timer.Subscription
}

// Writer writes the records that begin and end evacuations.
type Writer struct {
	topic topic
	// encode returns the key of the record that evacuates a data centre.
	encode func(dataCentre string) string
	clock  clock
	// wait bounds the time from the first call to the store to the last.
	wait time.Duration
}

// NewWriter returns a writer to the topic.
func NewWriter(t topic, encode func(dataCentre string) string, c clock, wait time.Duration) *Writer {
	return &Writer{
		topic:  t,
		encode: encode,
		clock:  c,
		wait:   wait,
	}
}

// write is one change of the state of a data centre.
type write struct {
	key string
	// value is nil where the evacuation is to end.
	value []byte
	// end is the instant from which on no further call is made.
	end timer.Instant
	// unanswered counts the appends that may have been executed, or may be later.
	unanswered int
}

// Begin evacuates the data centre. It returns the number of calls to the store that may
// still be executed. The error is a *NameError, a *RefusedError or an *UnresolvedError.
func (w *Writer) Begin(ctx context.Context, dataCentre string) (unanswered int, err error) {
	return w.run(ctx, dataCentre, []byte(evacuationValue))
}

// End ends the evacuation of the data centre. Its results are like those of Begin.
func (w *Writer) End(ctx context.Context, dataCentre string) (unanswered int, err error) {
	return w.run(ctx, dataCentre, nil)
}

func (w *Writer) run(ctx context.Context, dataCentre string, value []byte) (int, error) {
	x := &write{
		key:   w.encode(dataCentre),
		value: value,
		end:   w.clock.Now().Add(w.wait),
	}
	if dataCentre == "" || len(x.key) > maxKeyBytes {
		return 0, &NameError{
			name: dataCentre,
		}
	}
	for {
		done, err := w.attempt(ctx, x)
		if done || err != nil {
			return x.unanswered, err
		}
	}
}

// attempt appends the record once. Where the response is lost, it finds out whether the
// record is there, and reports false if it is not.
func (w *Writer) attempt(ctx context.Context, x *write) (bool, error) {
	err := w.topic.Put(ctx, x.key, x.value)
	if err == nil {
		return true, nil
	}
	if refused(err) {
		return false, &RefusedError{
			cause: err,
		}
	}
	x.unanswered++
	for {
		if pauseErr := w.pause(ctx, x, err); pauseErr != nil {
			return false, pauseErr
		}
		newest, readErr := w.topic.Newest(ctx)
		if readErr == nil {
			return x.matches(newest.Records()), nil
		}
		err = readErr
	}
}

// matches reports whether the newest records show the state that the write is to bring
// about.
func (x *write) matches(records []subscriber.Record) bool {
	evacuated := false
	for _, r := range records {
		if r.Key() == x.key {
			evacuated = !r.Removed()
		}
	}

	return evacuated == (x.value != nil)
}

// pause waits before the next call. It returns an *UnresolvedError with the cause once no
// further call is to be made.
func (w *Writer) pause(ctx context.Context, x *write, cause error) error {
	if w.clock.Now().Before(x.end) && w.clock.After(retryPause).Await(ctx) {
		return nil
	}

	return &UnresolvedError{
		cause: errors.CombineErrors(cause, ctx.Err()),
	}
}

// statusError is an error with which the store responded.
type statusError interface {
	error
	Status() int
}

// refused reports whether the store refused the call for good. A store that is busy or
// unavailable may accept the next one.
func refused(err error) bool {
	var s statusError
	if !errors.As(err, &s) {
		return false
	}
	status := s.Status()

	return status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusTooManyRequests && status != http.StatusRequestTimeout
}
