package commander

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/lagoonkeel/lagoonkeel/internal/demonstrator"
)

var cmdDemo = command{
	name:    "demo",
	summary: "Demonstrate the fleet in one process, with stand-ins for the platform, within 30 s.",
	example: "  lagoonkeel demo",
	action: func(ctx context.Context, c *cobra.Command, _ []string) error {
		return errors.Wrap(demonstrator.Run(ctx, c.OutOrStdout()), "running the demo")
	},
}
