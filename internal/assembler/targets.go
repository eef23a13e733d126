package assembler

import (
	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/drainer"
	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
	"github.com/lagoonkeel/lagoonkeel/internal/messenger"
	"github.com/lagoonkeel/lagoonkeel/internal/picker"
)

// targetSelection holds the parts that decide which targets get requests.
type targetSelection struct {
	drainer   *drainer.Drainer
	ejector   *ejector.Controller
	exchanger *ejector.Exchanger
	balancer  *picker.Balancer
}

// addTargetSelection builds the parts that select targets, and registers the service to
// which peers report evidence.
func addTargetSelection(v *VM) error {
	recorder := ejector.NewRecorder()
	t := &targetSelection{
		drainer: drainer.New(v.vmList, v.timers, v.logger),
	}
	t.ejector = ejector.New(v.settings.ID(), v.follower, t.drainer, recorder, v.timers, v.logger)
	t.exchanger = ejector.NewExchanger(t.ejector, t.drainer, messenger.NewEvidenceClient(v.pool), v.member, v.timers)
	t.balancer = picker.New(v.follower, t.ejector, v.member, recorder, v.timers, nil)
	v.targets = t
	v.controllers = append(v.controllers, t.drainer, t.ejector, t.exchanger, t.balancer)

	return errors.Wrap(messenger.RegisterEvidence(v.server, t.exchanger), "registering the evidence service")
}
