// Package standin plays the cases of the review: it starts stand-ins for the platform's
// store, for targets and for consumers, and the VMs as separate processes. All of its code
// is in test files; review/build.sh builds it as a program.
package standin

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

var errInterrupted = errors.New("it was interrupted or took too long")

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is one case. It reports whether the rule was broken; the error says why the case
// could not run.
type play func(e *environment) (broken bool, err error)

var plays = map[string]play{
	"far-behind":      farBehind,
	"odd-entry":       oddEntry,
	"listed-field":    listedField,
	"withheld-answer": withheldAnswer,
	"lost-poll":       lostPoll,
}

// TestMain plays the case that the arguments name, and no test.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

// run plays a case, writes the record and returns the exit code.
func run(p play, path string) int {
	e, err := newEnvironment(path)
	if err != nil {
		fmt.Println("the case could not run:", err)

		return exitNotRun
	}
	defer e.end()
	broken, err := e.play(p)
	code, text := exitHeld, "the rule held"
	switch {
	case err != nil:
		code, text = exitNotRun, "the case could not run: "+err.Error()
	case broken:
		code, text = exitBroken, "the rule was broken"
	}
	e.record.logf("%s", text)
	fmt.Println(text)

	return code
}

// play runs the case until it ends, a signal arrives or maxTime has passed.
func (e *environment) play(p play) (broken bool, err error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		broken, err = p(e)
	}()
	select {
	case <-ended:
		return broken, err
	case <-signals:
	case <-time.After(maxTime):
	}

	return false, errInterrupted
}
