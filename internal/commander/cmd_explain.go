package commander

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/lagoonkeel/lagoonkeel/internal/explainer"
)

var cmdExplain = command{
	name:    "explain ID [LOG ...]",
	summary: "Explain why one request ended as it did, from the log lines of all VMs.",
	example: "  lagoonkeel explain 9c41d07be2a35f68 vm-*.log\n  collect-logs | lagoonkeel explain 9c41d07be2a35f68",
	args:    cobra.MinimumNArgs(1),
	action:  explain,
}

// explain reads the log files named on the command line, or standard input if there are
// none.
func explain(_ context.Context, c *cobra.Command, args []string) error {
	e := explainer.New(args[0])
	if len(args) == 1 {
		if err := e.Read(c.InOrStdin()); err != nil {
			return err
		}
	}
	for _, path := range args[1:] {
		if err := readLog(e, path); err != nil {
			return err
		}
	}

	return e.Write(c.OutOrStdout())
}

func readLog(e *explainer.Explainer, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return usage(errors.Wrap(err, "opening the log file"))
	}
	defer f.Close() //nolint:errcheck // The file was only read.

	return errors.Wrapf(e.Read(f), "%s", path)
}
