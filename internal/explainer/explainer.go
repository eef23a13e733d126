// Package explainer finds out from the log lines of a fleet why one request ended as
// it did.
package explainer

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
)

const (
	// lookBack is the time before a request in which other VMs' lines about its targets
	// are taken into account.
	lookBack = 10 * time.Second
	// maxLine is the maximum length of a line in bytes.
	maxLine = 1 << 20
	// requestPrefix is the prefix of the names of request events.
	requestPrefix = "request-"
)

// MissingError reports that no request event has the id of the request.
type MissingError struct {
	id string
	// read is the number of lines read.
	read int
}

// Error implements error.
func (e *MissingError) Error() string {
	return fmt.Sprintf("none of %d lines is about request %s; it may have been served at the first attempt, "+
		"its VM may have dropped the line (see the metric log_dropped), or the input lacks the VM's lines", e.read, e.id)
}

// Explainer reads log lines and explains the result of one request.
type Explainer struct {
	id string
	// requestLines holds the lines about the request. otherLines holds the lines that
	// are not about any request. Both are in the order of the input until Write sorts
	// them by time.
	requestLines []*line
	otherLines   []*line
	// read counts all lines. invalid counts those that are truncated, in JSON or not
	// log lines of a VM.
	read    int
	invalid int
}

// New returns an explainer of the request with the id.
func New(id string) *Explainer {
	return &Explainer{
		id: id,
	}
}

// Read reads the lines of one input. It may be called for several inputs.
func (e *Explainer) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		e.add(s.Text())
	}

	return errors.Wrap(s.Err(), "reading log lines")
}

func (e *Explainer) add(text string) {
	e.read++
	l, ok := parse(text)
	switch {
	case !ok:
		e.invalid++
	case !strings.HasPrefix(l.eventName, requestPrefix):
		e.otherLines = append(e.otherLines, l)
	case l.get("id") == e.id:
		e.requestLines = append(e.requestLines, l)
	}
}

// Write writes the explanation of the request. The error is a *MissingError if no line
// is about the request.
func (e *Explainer) Write(w io.Writer) error {
	if len(e.requestLines) == 0 {
		return &MissingError{
			id:   e.id,
			read: e.read,
		}
	}
	byTime := func(a, b *line) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(e.requestLines, byTime)
	slices.SortStableFunc(e.otherLines, byTime)
	p := &printer{to: w}
	for _, l := range e.requestLines {
		e.explainLine(p, l)
	}
	if e.invalid > 0 {
		p.print("%d of %d lines were ignored: they are truncated or not log lines of a VM\n", e.invalid, e.read)
	}

	return errors.Wrap(p.err, "writing the explanation")
}

// explainLine explains what one VM did with the request, from its line about it.
func (e *Explainer) explainLine(p *printer, l *line) {
	took, _ := time.ParseDuration(l.get("tookMs") + "ms") // 0 where it is missing.
	began := l.at.Add(-took)
	p.print("request %s at %s, received at %s\n", e.id, l.vm, began.Format(clockFormat))
	p.print("  %s\n", l.text("id", "attempts"))
	p.print("  because: %s\n", reason(l))
	e.writeVMState(p, l.vm, began)
	for i, a := range attempts(l.get("attempts")) {
		p.print("  attempt %d: target %s: %s after %s; probability of failure when it was chosen: %s%s\n", i+1, a.target, a.result, a.took, a.risk, a.note())
		e.writeTargetState(p, l.vm, a.target, began)
	}
}

// clockFormat is the format of times in the explanation.
const clockFormat = "15:04:05.000"

// writeVMState writes the state of the VM before the request: its last line of each
// kind.
func (e *Explainer) writeVMState(p *printer, vm string, at time.Time) {
	for _, kinds := range [][]logger.Event{
		{logger.Started, logger.Stopping, logger.Stopped},
		{logger.ConfigTaken, logger.ConfigSkipped},
		{logger.EvacuationBegan, logger.EvacuationEnded},
		{logger.StoreLost, logger.StoreRegained},
		{logger.PeerHeard, logger.PeerLost},
	} {
		l := e.last(at, func(l *line) bool { return l.vm == vm && l.isAnyOf(kinds) })
		switch {
		case l != nil:
			p.print("  on the VM, %s before the request: %s\n", age(at, l), l.text("peers", "callers", "operators"))
		case kinds[0] == logger.Started:
			p.print("  no line shows when the VM started\n")
		}
	}
}

// writeTargetState writes the VM's last line about the target before the request, and
// the last line of another VM within lookBack that is based on that VM's own evidence.
func (e *Explainer) writeTargetState(p *printer, vm, target string, at time.Time) {
	latest := e.last(at, func(l *line) bool { return l.vm == vm && l.get("target") == target })
	if latest == nil {
		p.print("    the VM logged nothing about the target before the request\n")
	} else {
		p.print("    on the VM, %s before the request: %s\n", age(at, latest), latest.text("target"))
	}
	remote := e.last(at, func(l *line) bool {
		return l.vm != vm && l.get("target") == target && at.Sub(l.at) <= lookBack && l.get("own") == "true"
	})
	if remote != nil {
		p.print("    on %s, %s before the request: %s\n", remote.vm, age(at, remote), remote.text("target"))
	}
}

// last returns the last matching line at or before the instant, or nil.
func (e *Explainer) last(at time.Time, matches func(*line) bool) *line {
	for _, l := range slices.Backward(e.otherLines) {
		if !l.at.After(at) && matches(l) {
			return l
		}
	}

	return nil
}

func age(at time.Time, l *line) time.Duration { return at.Sub(l.at).Round(time.Millisecond) }

// printer writes to an output until the first error, which it keeps.
type printer struct {
	to  io.Writer
	err error
}

func (p *printer) print(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.to, format, args...)
	}
}
