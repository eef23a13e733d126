package commander

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/lagoonkeel/lagoonkeel/internal/keyer"
)

var cmdKey = command{
	name:    "key",
	line:    "Make keys for callers.",
	example: "  lagoonkeel key new",
	children: []command{
		{
			name:    "new",
			line:    "Print a new key, shown this once, and its digest for the manifest.",
			example: "  lagoonkeel key new",
			action:  newKey,
		},
	},
}

func newKey(_ context.Context, c *cobra.Command, _ []string) error {
	key, err := keyer.New()
	if err != nil {
		return errors.Wrap(err, "making a key")
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "key:    %s\ndigest: %s\n", key, keyer.Digest(key))

	return errors.Wrap(err, "writing the key")
}
