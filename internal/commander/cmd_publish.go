package commander

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/internal/publisher"
	"github.com/lagoonkeel/lagoonkeel/internal/streamer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

var cmdPublish = command{
	name:    "publish MANIFEST",
	line:    "Publish a manifest: append what changed and wait until it counts.",
	example: "  lagoonkeel publish --log http://10.0.0.9:7000 manifest.json",
	args:    cobra.ExactArgs(1),
	flags: func(c *cobra.Command) {
		c.Flags().String("log", "", "base address of the log service")
		_ = c.MarkFlagRequired("log") // Fails only for a flag that does not exist.
	},
	action: publish,
}

func publish(ctx context.Context, c *cobra.Command, args []string) error {
	data, err := readFile(args[0])
	if err != nil {
		return err
	}
	wanted, err := decoder.Manifest(data, manifester.NoVersion)
	if err != nil {
		return errors.Wrapf(err, "%s is not accepted", args[0])
	}
	base, err := c.Flags().GetString("log")
	if err != nil {
		return usage(errors.Wrap(err, "reading --log"))
	}
	version, err := publisher.New(streamer.NewClient(base)).Publish(ctx, wanted)
	if err != nil {
		return errors.Wrap(err, "publishing")
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "version %d is in force\n", version)

	return errors.Wrap(err, "writing the result")
}
