// Package logger writes numbered events, which docs/EVENTS.md lists. No event
// contains a key, the digest of a key or a body.
package logger

import (
	"io"
	"time"

	kitlog "github.com/go-kit/log"
)

// Level is the severity of an event.
type Level string

// The levels.
const (
	// LevelInfo events report normal operation.
	LevelInfo Level = "info"
	// LevelWarn events report a fault that the fleet handles by itself.
	LevelWarn Level = "warn"
	// LevelAlarm events need an action by an operator.
	LevelAlarm Level = "alarm"
)

// Format is the encoding of log lines.
type Format string

// The formats.
const (
	FormatLogfmt Format = "logfmt"
	FormatJSON   Format = "json"
)

// Attribute is one named value of an event.
type Attribute struct {
	name  string
	value any
}

// Text returns a string attribute.
func Text(name, value string) Attribute {
	return Attribute{
		name:  name,
		value: value,
	}
}

// Int returns an integer attribute.
func Int(name string, value int64) Attribute {
	return Attribute{
		name:  name,
		value: value,
	}
}

// Flag returns a boolean attribute.
func Flag(name string, value bool) Attribute {
	return Attribute{
		name:  name,
		value: value,
	}
}

// Millis returns a duration attribute in whole milliseconds. It appends Ms to the
// name.
func Millis(name string, d time.Duration) Attribute {
	return Attribute{
		name:  name + "Ms",
		value: d.Milliseconds(),
	}
}

// Failure returns an attribute with the text of an error, which must not be nil.
func Failure(err error) Attribute {
	return Attribute{
		name:  "error",
		value: err.Error(),
	}
}

// Logger writes events. It is safe for concurrent use.
type Logger struct {
	out kitlog.Logger
}

// New returns a logger that writes lines of the format, each with the time and the
// VM's id.
func New(w io.Writer, format Format, vm string) *Logger {
	w = kitlog.NewSyncWriter(w)
	out := kitlog.NewLogfmtLogger(w)
	if format == FormatJSON {
		out = kitlog.NewJSONLogger(w)
	}

	return &Logger{
		out: kitlog.With(out, "time", kitlog.DefaultTimestampUTC, "vm", vm),
	}
}

// Discard returns a logger that drops every event.
func Discard() *Logger {
	return &Logger{
		out: kitlog.NewNopLogger(),
	}
}

// Log writes one event.
func (l *Logger) Log(e Event, attributes ...Attribute) {
	pairs := make([]any, 0, 6+2*len(attributes))
	pairs = append(pairs, "level", string(e.level), "event", e.number, "name", e.name)
	for _, a := range attributes {
		pairs = append(pairs, a.name, a.value)
	}
	_ = l.out.Log(pairs...) // A failure to write the log must not stop the VM.
}
