package assembler

import (
	"net"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/listener"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

type manifestSource interface {
	Manifest() *manifester.Manifest
}

// callerLimits reads the limits on callers from the configuration in force.
type callerLimits struct {
	source manifestSource
}

// Limits returns the limits in force on the size and the timing of callers' requests.
func (c *callerLimits) Limits() manifester.Limits { return c.source.Manifest().Limits() }

// newListener returns the listener for callers' requests.
func (p *process) newListener(socket net.Listener, chain handler.Handler, source manifestSource, d *handler.Dialect) *listener.Listener {
	return listener.New(listener.Spec{
		Socket:  socket,
		Chain:   chain,
		MaxBody: p.settings.MaxBody(),
		Limits: &callerLimits{
			source: source,
		},
		Dialect: d,
		Memory:  p.bodies,
		Clock:   p.timers,
		Logger:  p.logger,
	})
}
