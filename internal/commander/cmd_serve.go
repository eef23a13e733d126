package commander

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/lagoonkeel/lagoonkeel/internal/assembler"
	"github.com/lagoonkeel/lagoonkeel/internal/configurer"
	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
)

var cmdServe = command{
	name:    "serve [SETTINGS]",
	line:    "Run one VM of the fleet until it is told to stop.",
	example: "  lagoonkeel serve /etc/lagoonkeel/settings.json",
	args:    cobra.MaximumNArgs(1),
	action:  serve,
}

func serve(ctx context.Context, _ *cobra.Command, args []string) error {
	path := assembler.SettingsPath()
	if len(args) > 0 {
		path = args[0]
	}
	if path == "" {
		return usage(errors.New("no settings are named; pass the path of a settings file"))
	}
	data, err := readFile(path)
	if err != nil {
		return err
	}
	settings, err := decoder.Settings(data)
	if err != nil {
		return errors.Wrapf(err, "%s is not accepted", path)
	}
	vm, err := assemble(settings)
	if err != nil {
		return errors.Wrap(err, "starting the VM")
	}

	return errors.Wrap(vm.Run(ctx), "serving")
}

// process is one VM that can be run.
type process interface {
	Run(ctx context.Context) error
}

// assemble builds the VM for the platform that the settings name.
func assemble(s *configurer.Settings) (process, error) {
	if s.Store() != "" {
		return assembler.NewStoreVM(s, logger.New(os.Stdout, s.LogFormat(), s.ID())) //nolint:wrapcheck // Wrapped by serve.
	}

	return assembler.New(s, logger.New(os.Stderr, s.LogFormat(), s.ID())) //nolint:wrapcheck // Wrapped by serve.
}
