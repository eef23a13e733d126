package commander

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/lagoonkeel/lagoonkeel/internal/assembler"
	"github.com/lagoonkeel/lagoonkeel/internal/evacuator"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

var cmdEvacuate = command{
	name:    "evacuate DATA-CENTRE",
	summary: "Evacuate a data centre: no VM sends requests to its targets until the evacuation is undone.",
	example: "  lagoonkeel evacuate kandy --store 10.0.0.9:7000\n" +
		"  lagoonkeel evacuate kandy --store 10.0.0.9:7000 --undo",
	args: cobra.ExactArgs(1),
	flags: func(c *cobra.Command) {
		c.Flags().String("store", "", "address of the platform's store, a host and port")
		c.Flags().Bool("undo", false, "end the evacuation")
		c.Flags().Duration("wait", evacuator.DefaultWait, "maximum time to wait for the store")
		_ = c.MarkFlagRequired("store") // Fails only for a flag that does not exist.
	},
	action: evacuate,
}

// evacuateOptions holds the values of the flags of evacuate.
type evacuateOptions struct {
	store string
	undo  bool
	wait  time.Duration
}

func readEvacuateOptions(c *cobra.Command) (evacuateOptions, error) {
	var o evacuateOptions
	var errs [4]error
	f := c.Flags()
	o.store, errs[0] = f.GetString("store")
	o.undo, errs[1] = f.GetBool("undo")
	o.wait, errs[2] = f.GetDuration("wait")
	_, _, errs[3] = net.SplitHostPort(o.store)

	return o, errors.Join(errs[:]...)
}

func evacuate(ctx context.Context, c *cobra.Command, args []string) error {
	o, err := readEvacuateOptions(c)
	if err != nil {
		return usage(err)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	timers := timer.NewService()
	go func() { _ = timers.Run(ctx) }() // It ends with ctx and never fails.
	writer := assembler.NewEvacuationWriter(o.store, timers, o.wait)
	change := writer.Begin
	if o.undo {
		change = writer.End
	}
	unanswered, err := change(ctx, args[0])
	var name *evacuator.NameError
	switch {
	case errors.As(err, &name):
		return usage(err)
	case err != nil:
		return err
	}

	return printEvacuation(c.OutOrStdout(), args[0], o.undo, unanswered)
}

// printEvacuation prints the result, with the calls to the store that may still be executed:
// one that is executed after the opposite command would reverse it.
func printEvacuation(out io.Writer, dataCentre string, undone bool, unanswered int) error {
	p := &printer{
		out: out,
	}
	state, opposite := "is evacuated", "undo it"
	if undone {
		state, opposite = "is no longer evacuated", "evacuate it again"
	}
	p.line("%s %s; the VMs learn of it within seconds, as `lagoonkeel status ADDRESS...` shows", dataCentre, state)
	if unanswered > 0 {
		p.line("%d calls got no response, and the store may execute them late: wait for %v before you %s, and check the status then",
			unanswered, lateExecution, opposite)
	}

	return errors.Wrap(p.err, "writing the result")
}

// lateExecution is the time after which no call without a response is expected to be
// executed. Stores have executed such calls seconds later.
const lateExecution = 30 * time.Second
