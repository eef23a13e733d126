// Package demonstrator shows the whole path in one process: stand-ins of the
// platform and of upstreams, three VMs, and a bounded load.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// timeLimit bounds a whole demonstration.
const timeLimit = 30 * time.Second

// StepError reports a step that showed something else than it should.
type StepError struct {
	step string
	got  string
}

// Error implements error.
func (e *StepError) Error() string {
	return fmt.Sprintf("step %q showed: %s", e.step, e.got)
}

// step shows one property of the fleet and returns what it saw.
type step struct {
	name string
	show func(ctx context.Context, f *fleet) (seen string, ok bool, err error)
}

// steps are shown in this order.
var steps = []step{
	{name: "a lookup is served", show: showLookup},
	{name: "a booking is served", show: showBooking},
	{name: "a wrong key is refused", show: showWrongKey},
	{name: "a team over its rate is refused", show: showOverRate},
	{name: "a withdrawn key stops working", show: showWithdrawal},
	{name: "a gray upstream is ejected", show: showEjection},
	{name: "a planned stop cuts no request", show: showStop},
}

// Run shows every step and writes a line for each. It returns a *StepError for
// the first that did not show what it should.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	start := time.Now()
	f, err := startFleet(ctx)
	if err != nil {
		return errors.Wrap(err, "starting the demonstration")
	}
	failed := showAll(ctx, out, f)
	cancel()
	if err := f.wait(); err != nil && failed == nil {
		failed = errors.Wrap(err, "ending the demonstration")
	}
	if failed != nil {
		return failed
	}
	_, err = fmt.Fprintf(out, "all %d steps shown in %.1f s\n", len(steps), time.Since(start).Seconds())

	return errors.Wrap(err, "writing the summary")
}

func showAll(ctx context.Context, out io.Writer, f *fleet) error {
	for _, s := range steps {
		seen, ok, err := s.show(ctx, f)
		if err != nil {
			return errors.Wrapf(err, "step %q", s.name)
		}
		if !ok {
			return &StepError{
				step: s.name,
				got:  seen,
			}
		}
		if _, err := fmt.Fprintf(out, "ok  %-34s %s\n", s.name, seen); err != nil {
			return errors.Wrap(err, "writing a step")
		}
	}

	return nil
}
