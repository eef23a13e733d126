package assembler

import (
	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/drainer"
	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
	"github.com/lagoonkeel/lagoonkeel/internal/messenger"
	"github.com/lagoonkeel/lagoonkeel/internal/picker"
	"github.com/lagoonkeel/lagoonkeel/internal/supervisor"
)

// targets are the parts that decide which targets get work.
type targets struct {
	drainer   *drainer.Drainer
	ejector   *ejector.Controller
	exchanger *ejector.Exchanger
	balancer  *picker.Balancer
}

// newTargets builds the parts on top of the follower, the watcher and the
// links to peers.
func newTargets(v *VM) (*targets, error) {
	recorder := ejector.NewRecorder()
	t := &targets{
		drainer: drainer.New(v.watcher, v.timers, v.logger),
	}
	t.ejector = ejector.New(v.settings.ID(), v.follower, t.drainer, recorder, v.timers, v.logger)
	t.exchanger = ejector.NewExchanger(t.ejector, t.drainer, messenger.NewEvidenceClient(v.pool), v.watcher, v.timers)
	t.balancer = picker.New(v.follower, t.ejector, v.watcher, recorder, v.timers, nil)

	return t, errors.Wrap(messenger.RegisterEvidence(v.server, t.exchanger), "building the VM")
}

// controllers lists the parts that run.
func (t *targets) controllers() []supervisor.Controller {
	return []supervisor.Controller{t.drainer, t.ejector, t.exchanger, t.balancer}
}
