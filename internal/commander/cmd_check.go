package commander

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

var cmdCheck = command{
	name:    "check",
	summary: "Check a manifest or a settings file and list every fault.",
	example: "  lagoonkeel check manifest manifest.json\n  lagoonkeel check settings settings.json",
	children: []command{
		{
			name:    "manifest FILE",
			summary: "Check a manifest.",
			example: "  lagoonkeel check manifest manifest.json",
			args:    cobra.ExactArgs(1),
			action: checkWith(func(data []byte) error {
				_, err := decoder.Manifest(data, manifester.NoVersion)

				return err
			}),
		},
		{
			name:    "settings FILE",
			summary: "Check the settings of a VM.",
			example: "  lagoonkeel check settings settings.json",
			args:    cobra.ExactArgs(1),
			action: checkWith(func(data []byte) error {
				_, err := decoder.Settings(data)

				return err
			}),
		},
	},
}

// checkWith returns the action that reads the file and runs the check on its content.
func checkWith(check func([]byte) error) func(context.Context, *cobra.Command, []string) error {
	return func(_ context.Context, c *cobra.Command, args []string) error {
		data, err := readFile(args[0])
		if err != nil {
			return err
		}
		if err := check(data); err != nil {
			return errors.Wrapf(err, "%s is not accepted", args[0])
		}
		_, err = fmt.Fprintf(c.OutOrStdout(), "%s is accepted\n", args[0])

		return errors.Wrap(err, "writing the result")
	}
}
