// Package supervisor runs the controllers of a process, each in a goroutine of its
// own, until one of them fails or the process is stopped.
package supervisor

import (
	"context"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonkeel/lagoonkeel/internal/recoverer"
)

// Controller owns one part of the state. Run returns when ctx ends; an error from it
// stops all controllers.
type Controller interface {
	Name() string
	Run(ctx context.Context) error
}

// Run runs all controllers until ctx ends or one of them fails, and waits for all of
// them to return. It returns the first error, with the name of its controller. A panic of
// a controller counts as an error of it, so that the process ends in order.
func Run(ctx context.Context, controllers ...Controller) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, c := range controllers {
		g.Go(func() error {
			return errors.Wrapf(recoverer.Do(func() error { return c.Run(ctx) }), "controller %s", c.Name())
		})
	}

	return g.Wait() //nolint:wrapcheck // Each controller's error is wrapped above.
}
