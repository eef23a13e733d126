// Package demonstrator runs stand-ins for the platform and for upstreams, and three VMs,
// in one process, and demonstrates the main properties of the fleet with a bounded load.
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

// StepError reports a step whose result is not the expected one.
type StepError struct {
	step   string
	result string
}

// Error implements error.
func (e *StepError) Error() string {
	return fmt.Sprintf("step %q failed: observed %s", e.step, e.result)
}

// step demonstrates one property of the fleet. show returns the observed result and
// whether it is the expected one.
type step struct {
	name string
	show func(ctx context.Context, f *fleet) (observed string, ok bool, err error)
}

// steps are run in this order.
var steps = []step{
	{name: "a lookup is served", show: showLookup},
	{name: "a booking is served", show: showBooking},
	{name: "a wrong key is refused", show: showWrongKey},
	{name: "a team over its rate is refused", show: showOverRate},
	{name: "a withdrawn key is refused", show: showWithdrawal},
	{name: "a slow upstream is ejected", show: showEjection},
	{name: "a planned stop aborts no request", show: showStop},
}

// Run runs the steps in order and writes a line for each. It ends after the first step
// that fails, with a *StepError if the result of the step is not the expected one.
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
	_, err = fmt.Fprintf(out, "all %d steps passed in %.1f s\n", len(steps), time.Since(start).Seconds())

	return errors.Wrap(err, "writing the summary")
}

func showAll(ctx context.Context, out io.Writer, f *fleet) error {
	for _, s := range steps {
		observed, ok, err := s.show(ctx, f)
		if err != nil {
			return errors.Wrapf(err, "step %q", s.name)
		}
		if !ok {
			return &StepError{
				step:   s.name,
				result: observed,
			}
		}
		if _, err := fmt.Fprintf(out, "ok  %-34s %s\n", s.name, observed); err != nil {
			return errors.Wrap(err, "writing a step")
		}
	}

	return nil
}
