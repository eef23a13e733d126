package commander

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/lagoonkeel/lagoonkeel/internal/standin"
)

var cmdStandinLog = command{
	name:    "log",
	summary: "Run a stand-in for the platform's append-only log, in memory.",
	example: "  lagoonkeel-standin log --listen 127.0.0.1:7000",
	flags:   listenFlag,
	action: func(ctx context.Context, c *cobra.Command, _ []string) error {
		return runStandin(ctx, c, standin.NewLog().Handler())
	},
}

var cmdStandinVMs = command{
	name:    "vms",
	summary: "Run a stand-in for the platform's VM list.",
	example: "  lagoonkeel-standin vms --listen 127.0.0.1:7001",
	flags:   listenFlag,
	action: func(ctx context.Context, c *cobra.Command, _ []string) error {
		return runStandin(ctx, c, standin.NewVMs().Handler())
	},
}

var cmdStandinUpstream = command{
	name:    "upstream",
	summary: "Run a stand-in for one target of an upstream.",
	example: "  lagoonkeel-standin upstream --listen 127.0.0.1:9001 --name bookings-1",
	flags: func(c *cobra.Command) {
		listenFlag(c)
		c.Flags().String("name", "upstream", "name that the target puts into its responses")
		c.Flags().Int("slots", standin.DefaultSlots, "maximum number of requests that the target runs at the same time")
		c.Flags().Bool("print-runs", false, "print a line for each request that ran")
	},
	action: func(ctx context.Context, c *cobra.Command, _ []string) error {
		name, err := c.Flags().GetString("name")
		if err != nil {
			return usage(errors.Wrap(err, "reading --name"))
		}
		slots, err := c.Flags().GetInt("slots")
		if err != nil {
			return usage(errors.Wrap(err, "reading --slots"))
		}

		u := standin.NewUpstream(name, slots)
		if c.Flags().Changed("print-runs") {
			u.PrintRuns(os.Stdout)
		}

		return runStandin(ctx, c, u.Handler())
	},
}

var cmdStandinCaller = command{
	name:    "caller PLAN",
	summary: "Send the load that a plan describes and print the count of each outcome as JSON.",
	example: "  lagoonkeel-standin caller plan.json",
	args:    cobra.ExactArgs(1),
	action: func(ctx context.Context, c *cobra.Command, args []string) error {
		data, err := readFile(args[0])
		if err != nil {
			return err
		}
		plan, err := standin.ParsePlan(data)
		if err != nil {
			return usage(errors.Wrap(err, "reading the plan"))
		}
		report, err := standin.NewCaller(plan).Run(ctx)
		if err != nil {
			return errors.Wrap(err, "sending the load")
		}
		text, err := report.JSON()
		if err != nil {
			return errors.Wrap(err, "encoding the report")
		}
		_, err = fmt.Fprintln(c.OutOrStdout(), string(text))

		return errors.Wrap(err, "writing the report")
	},
}

func listenFlag(c *cobra.Command) {
	c.Flags().String("listen", "127.0.0.1:0", "IP address and port to listen on")
}

func runStandin(ctx context.Context, c *cobra.Command, h standin.Handler) error {
	address, err := c.Flags().GetString("listen")
	if err != nil {
		return usage(errors.Wrap(err, "reading --listen"))
	}
	s, err := standin.Listen(address, h)
	if err != nil {
		return errors.Wrap(err, "starting the stand-in")
	}
	if _, err := fmt.Fprintf(os.Stdout, "listening %s\n", s.Address()); err != nil {
		return errors.Wrap(err, "writing the address")
	}

	return errors.Wrap(s.Run(ctx), "running the stand-in")
}
