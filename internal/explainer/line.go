package explainer

import (
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
)

// attribute is the name and the value of one field of a line.
type attribute struct {
	name  string
	value string
}

// line is the log line of one event of a VM.
type line struct {
	at        time.Time
	vm        string
	eventName string
	// attributes holds the other fields in the order of the line, without the level and
	// the event's number (the field event).
	attributes []attribute
}

// get returns the value of the attribute, or "" if the line lacks it.
func (l *line) get(name string) string {
	for _, a := range l.attributes {
		if a.name == name {
			return a.value
		}
	}

	return ""
}

// isAnyOf reports whether the line is of one of the events.
func (l *line) isAnyOf(events []logger.Event) bool {
	return slices.ContainsFunc(events, func(e logger.Event) bool { return e.Name() == l.eventName })
}

// text returns the event's name and the attributes without those named.
func (l *line) text(without ...string) string {
	parts := []string{l.eventName}
	for _, a := range l.attributes {
		if !slices.Contains(without, a.name) {
			parts = append(parts, a.name+"="+a.value)
		}
	}

	return strings.Join(parts, " ")
}

// linePrefix is the start of a line. Log collectors may put their own text before it.
const linePrefix = "time="

// parse parses a line in logfmt. It returns false if the line is truncated, in JSON or not a
// log line of a VM.
func parse(text string) (*line, bool) {
	i := strings.Index(text, linePrefix)
	if i < 0 {
		return nil, false
	}
	l := &line{}
	d := logfmt.NewDecoder(strings.NewReader(text[i:]))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.set(string(d.Key()), string(d.Value()))
		}
	}

	return l, d.Err() == nil && l.eventName != "" && l.vm != "" && !l.at.IsZero()
}

// set sets one field of the line.
func (l *line) set(name, value string) {
	switch name {
	case "time":
		l.at, _ = time.Parse(time.RFC3339Nano, value) // A zero time makes the line invalid.
	case "vm":
		l.vm = value
	case "name":
		l.eventName = value
	case "level", "event":
	default:
		l.attributes = append(l.attributes, attribute{name: name, value: value})
	}
}
