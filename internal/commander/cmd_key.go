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
	summary: "Create keys for callers.",
	example: "  lagoonkeel key new",
	children: []command{
		{
			name:    "new",
			summary: "Create a key and print it, only this once, with its digest for the manifest.",
			example: "  lagoonkeel key new",
			action:  newKey,
		},
	},
}

func newKey(_ context.Context, c *cobra.Command, _ []string) error {
	key, err := keyer.New()
	if err != nil {
		return errors.Wrap(err, "creating a key")
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "key:    %s\ndigest: %s\n", key, keyer.Digest(key))

	return errors.Wrap(err, "writing the key")
}
