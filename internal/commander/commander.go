// Package commander implements the commands of the programs, with one file for each
// command or group of commands.
package commander

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// The exit codes of the programs.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// command is one subcommand.
type command struct {
	// name is the command's name, followed by its arguments.
	name string
	// summary describes the command in one line.
	summary string
	example string
	// action runs the command. flags defines its flags.
	action func(ctx context.Context, c *cobra.Command, args []string) error
	flags  func(c *cobra.Command)
	args   cobra.PositionalArgs
	// children are the subcommands of a group, which has no action.
	children []command
}

// UsageError reports a command line that is not valid, or an input file that cannot be read
// or parsed.
type UsageError struct {
	cause error
}

// Error implements error.
func (e *UsageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.cause }

// usage returns a *UsageError with the cause.
func usage(err error) error {
	return &UsageError{
		cause: err,
	}
}

// Lagoonkeel runs the lagoonkeel program and returns its exit code.
func Lagoonkeel(args []string) int {
	return run("lagoonkeel", "A proxy fleet in front of upstreams with gray failures.", args,
		cmdServe, cmdCheck, cmdPublish, cmdEvacuate, cmdStatus, cmdExplain, cmdWhere, cmdKey, cmdDemo, cmdVersion)
}

// Standin runs the lagoonkeel-standin program and returns its exit code.
func Standin(args []string) int {
	return run("lagoonkeel-standin", "Stand-ins for the platform, for tests and demos.", args,
		cmdStandinLog, cmdStandinVMs, cmdStandinUpstream, cmdStandinCaller)
}

// run runs the named program with its commands and returns its exit code.
func run(name, summary string, args []string, commands ...command) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:           name,
		Short:         summary,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	began := false
	for _, c := range commands {
		root.AddCommand(c.build(&began))
	}
	root.SetArgs(args)
	c, err := root.ExecuteContextC(ctx)
	if err != nil && !began {
		err = usage(errors.Wrapf(err, "see `%s --help`", c.CommandPath()))
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	}

	return exitCode(err)
}

// build returns the cobra command. Its action sets began when it starts, so that an
// earlier error can be reported as a usage error.
func (c command) build(began *bool) *cobra.Command {
	b := &cobra.Command{
		Use:     c.name,
		Short:   c.summary,
		Example: c.example,
	}
	if c.args == nil {
		c.args = cobra.NoArgs
	}
	b.Args = c.args
	b.RunE = func(b *cobra.Command, args []string) error {
		*began = true
		if c.action == nil {
			return errors.Wrap(b.Help(), "writing the help")
		}

		return c.action(b.Context(), b, args)
	}
	if c.flags != nil {
		c.flags(b)
	}
	for _, child := range c.children {
		b.AddCommand(child.build(began))
	}

	return b
}

// exitCode returns the exit code for an error. Usage errors include faults in input
// files.
func exitCode(err error) int {
	var u *UsageError
	var f manifester.Faults
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &u), errors.As(err, &f):
		return exitUsage
	default:
		return exitFailed
	}
}

// readFile reads an input file named on the command line. The error is a *UsageError.
func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usage(errors.Wrap(err, "reading the file"))
	}

	return data, nil
}
