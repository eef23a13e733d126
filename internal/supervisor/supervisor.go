// Package supervisor runs the controllers of a process, each in a goroutine of
// its own, until one fails or the process is told to stop.
package supervisor

import (
	"context"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Controller owns one part of the state. Run returns when ctx ends; an error
// before that stops the process.
type Controller interface {
	Name() string
	Run(ctx context.Context) error
}

// Run runs every controller until ctx ends or one of them fails. It returns
// the first failure.
func Run(ctx context.Context, controllers ...Controller) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, c := range controllers {
		g.Go(func() error {
			return errors.Wrapf(c.Run(ctx), "controller %s", c.Name())
		})
	}

	return g.Wait() //nolint:wrapcheck // Each controller's error is wrapped above.
}
