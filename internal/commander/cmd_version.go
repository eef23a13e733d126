package commander

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// Version is the version of lagoonkeel.
const Version = "0.1.0"

var cmdVersion = command{
	name:    "version",
	summary: "Print the version.",
	example: "  lagoonkeel version",
	action: func(_ context.Context, c *cobra.Command, _ []string) error {
		_, err := fmt.Fprintln(c.OutOrStdout(), Version)

		return errors.Wrap(err, "writing the version")
	},
}
