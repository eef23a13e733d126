package commander

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/internal/lister"
	"github.com/lagoonkeel/lagoonkeel/internal/messenger"
	"github.com/lagoonkeel/lagoonkeel/internal/publisher"
	"github.com/lagoonkeel/lagoonkeel/internal/snapshotter"
	"github.com/lagoonkeel/lagoonkeel/internal/streamer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

var cmdPublish = command{
	name:    "publish MANIFEST",
	summary: "Publish a manifest: append what changed to the log and, on request, wait until it is in force.",
	example: "  lagoonkeel publish --log http://10.0.0.9:7000 --vms http://10.0.0.9:7001 manifest.json\n" +
		"  lagoonkeel publish --log http://10.0.0.9:7000 --dry-run manifest.json",
	args: cobra.ExactArgs(1),
	flags: func(c *cobra.Command) {
		c.Flags().String("log", "", "base URL of the log service")
		c.Flags().String("vms", "", "base URL of the platform's VM list; wait until the version is in force on all of its VMs")
		c.Flags().StringSlice("status", nil, "addresses of VMs' listeners for operators; wait until the version is in force on these VMs")
		c.Flags().Duration("wait", publisher.DefaultWait, "maximum time to wait for the log, and then for the VMs")
		c.Flags().Bool("dry-run", false, "print what would change, but append nothing")
		_ = c.MarkFlagRequired("log") // Fails only for a flag that does not exist.
	},
	action: publish,
}

// publishOptions holds the values of the flags of publish.
type publishOptions struct {
	log    string
	vms    string
	status []string
	wait   time.Duration
	dryRun bool
}

func readPublishOptions(c *cobra.Command) (publishOptions, error) {
	var o publishOptions
	var errs [7]error
	f := c.Flags()
	o.log, errs[0] = f.GetString("log")
	o.vms, errs[1] = f.GetString("vms")
	o.status, errs[2] = f.GetStringSlice("status")
	o.wait, errs[3] = f.GetDuration("wait")
	o.dryRun, errs[4] = f.GetBool("dry-run")
	errs[5], errs[6] = checkBaseURL(o.log), checkBaseURL(o.vms)

	return o, errors.Join(errs[:]...)
}

// BaseURLError reports a flag whose value is not the HTTP or HTTPS URL of a service.
type BaseURLError struct {
	url string
}

// Error implements error.
func (e *BaseURLError) Error() string {
	return fmt.Sprintf("%q is not the base URL of a service; state one such as http://10.0.0.9:7000", e.url)
}

// checkBaseURL returns a *BaseURLError unless the text is empty or an HTTP or HTTPS URL.
func checkBaseURL(text string) error {
	if text == "" || decoder.ValidBaseURL(text) {
		return nil
	}

	return &BaseURLError{
		url: text,
	}
}

func publish(ctx context.Context, c *cobra.Command, args []string) error {
	o, err := readPublishOptions(c)
	if err != nil {
		return usage(err)
	}
	data, err := readFile(args[0])
	if err != nil {
		return err
	}
	wanted, err := decoder.Manifest(data, manifester.NoVersion)
	if err != nil {
		return errors.Wrapf(err, "%s is not accepted", args[0])
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	timers := timer.NewService()
	go func() { _ = timers.Run(ctx) }() // It ends with ctx and never fails.
	log := streamer.NewClient(o.log)
	p := publisher.New(log, snapshotter.NewLoader(log, decoder.Chunk), timers, o.wait)
	plan, err := p.Plan(ctx, wanted)
	if err != nil {
		return err
	}
	if o.dryRun {
		return printChange(c.OutOrStdout(), plan.InForce(), plan.Change())
	}

	return publishPlan(ctx, c.OutOrStdout(), p, plan, o)
}

func publishPlan(ctx context.Context, out io.Writer, p *publisher.Publisher, plan *publisher.Plan, o publishOptions) error {
	version, err := p.Publish(ctx, plan)
	if err != nil {
		return errors.Wrap(err, "publishing")
	}
	if o.vms == "" && len(o.status) == 0 {
		_, err = fmt.Fprintf(out, "version %d is accepted; use --vms or --status to wait until it is in force on the VMs\n", version)

		return errors.Wrap(err, "writing the result")
	}
	count := 0
	if o.vms != "" {
		pool := messenger.NewPool()
		defer pool.Close() //nolint:errcheck // The process ends.
		n, err := p.Wait(ctx, &listedFleet{
			list:   lister.NewClient(o.vms),
			client: messenger.NewConfigurationClient(pool),
		}, version)
		if err != nil {
			return err
		}
		count += n
	}
	n, err := p.Wait(ctx, namedFleet(o.status), version)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "version %d is in force on %d VMs\n", version, count+n)

	return errors.Wrap(err, "writing the result")
}

// printChange prints one line for each object that the change adds, replaces or
// removes.
func printChange(out io.Writer, inForce *manifester.Manifest, c *manifester.Change) error {
	p := &printer{
		out: out,
	}
	p.line("compared with version %d: %d objects change", inForce.Version(), c.Size())
	for _, s := range c.Services() {
		_, old := inForce.Service(s.Name())
		p.line("%s service %s: class %s, floor %d, %d targets", sign(old), s.Name(), s.Class(), s.Floor(), len(s.Targets()))
	}
	for _, t := range c.Teams() {
		_, old := inForce.Team(t.Name())
		p.line("%s team %s: rate %v, burst %v, weight %v, %d keys", sign(old), t.Name(), t.Rate(), t.Burst(), t.Weight(), len(t.KeyDigests()))
	}
	for _, r := range c.Routes() {
		_, old := inForce.Route(r.Name())
		p.line("%s route %s: %s %s to %s, open %v, idempotent %v, timeout %v",
			sign(old), r.Name(), r.Method(), r.Prefix(), r.Service(), r.Open(), r.Idempotent(), r.Timeout())
	}
	p.removed("service", c.RemovedServices())
	p.removed("team", c.RemovedTeams())
	p.removed("route", c.RemovedRoutes())

	return errors.Wrap(p.err, "writing the change")
}

// sign returns the mark of a replaced object if there is an old one, else that of an
// added object.
func sign(old bool) string {
	if old {
		return "~"
	}

	return "+"
}

// printer writes lines to an output until the first error, which it keeps.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format+"\n", args...)
	}
}

// removed prints one line for each removed object.
func (p *printer) removed(kind string, names []string) {
	for _, n := range names {
		p.line("- %s %s", kind, n)
	}
}
