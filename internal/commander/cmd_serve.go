package commander

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/lagoonkeel/lagoonkeel/internal/assembler"
	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
)

var cmdServe = command{
	name:    "serve SETTINGS",
	line:    "Run one VM of the fleet until it is told to stop.",
	example: "  lagoonkeel serve /etc/lagoonkeel/settings.json",
	args:    cobra.ExactArgs(1),
	action:  serve,
}

func serve(ctx context.Context, _ *cobra.Command, args []string) error {
	data, err := readFile(args[0])
	if err != nil {
		return err
	}
	settings, err := decoder.Settings(data)
	if err != nil {
		return errors.Wrapf(err, "%s is not accepted", args[0])
	}
	vm, err := assembler.New(settings, logger.New(os.Stderr, settings.LogFormat(), settings.ID()))
	if err != nil {
		return errors.Wrap(err, "starting the VM")
	}

	return errors.Wrap(vm.Run(ctx), "serving")
}
