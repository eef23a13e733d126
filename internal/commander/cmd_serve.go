package commander

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/lagoonkeel/lagoonkeel/internal/assembler"
	"github.com/lagoonkeel/lagoonkeel/internal/configurer"
	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
)

var cmdServe = command{
	name:    "serve [SETTINGS]",
	summary: "Run one VM of the fleet until SIGTERM or SIGINT, then stop gracefully.",
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
	settings, err := readSettings(path)
	if err != nil {
		return err
	}
	setHeapGrowth()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	l := logger.New(logOutput(settings), settings.LogFormat(), settings.ID())
	vm, err := assemble(settings, l, logOutput(settings))
	if err != nil {
		return errors.Wrap(err, "starting the VM")
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-hangup:
				recheck(path, settings, l)
			case <-done:
				return
			}
		}
	}()

	return errors.Wrap(vm.Run(ctx), "serving")
}

// heapGrowth is the growth of the heap between two garbage collections, in percent. It
// is lower than Go's default of 100, since a VM has memory for little more than its own
// state.
const heapGrowth = 40

// setHeapGrowth sets the heap growth unless the environment variable GOGC is set.
func setHeapGrowth() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(heapGrowth)
	}
}

func readSettings(path string) (*configurer.Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	settings, err := decoder.Settings(data)

	return settings, errors.Wrapf(err, "%s is not accepted", path)
}

// recheck reads and checks the settings file again and logs the result. It applies no
// settings: listeners and peers stay as they are, requests are not interrupted, and
// changed settings take effect at the next start of the process.
func recheck(path string, inForce *configurer.Settings, l *logger.Logger) {
	next, err := readSettings(path)
	if err != nil {
		l.Log(logger.SettingsRefused, logger.Failure(err))

		return
	}
	l.Log(logger.SettingsRead, logger.Flag("changed", !next.Equal(inForce)))
}

// logOutput returns the output for log lines: standard output for a VM on the
// platform's store, standard error for a VM on the log.
func logOutput(s *configurer.Settings) io.Writer {
	if s.Store() != "" {
		return os.Stdout
	}

	return os.Stderr
}

// process is the process of one VM.
type process interface {
	Run(ctx context.Context) error
}

// assemble builds the VM, which runs on the platform's store if the settings name one,
// else on the log.
func assemble(s *configurer.Settings, l *logger.Logger, out io.Writer) (process, error) {
	if s.Store() != "" {
		return assembler.NewStoreVM(s, out)
	}

	return assembler.New(s, l)
}
