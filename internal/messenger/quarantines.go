package messenger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/peerpb"
	"github.com/lagoonkeel/lagoonkeel/internal/quarantiner"
)

const (
	// broadcastTimeout is the time limit for sending one mark to all other VMs.
	broadcastTimeout = 300 * time.Millisecond
	// broadcastLimit is the maximum number of concurrent calls for one mark.
	broadcastLimit = 64
)

// QuarantineClient is the client of the Quarantines service of other VMs. It is safe
// for concurrent use.
type QuarantineClient struct {
	pool *Pool
	// others returns every other VM.
	others func() []member.VM
}

// NewQuarantineClient returns a client that uses the pool's connections and sends to
// the VMs that others returns.
func NewQuarantineClient(p *Pool, others func() []member.VM) *QuarantineClient {
	return &QuarantineClient{
		pool:   p,
		others: others,
	}
}

// Broadcast sends the mark to every other VM and returns after at most
// broadcastTimeout. Failed calls are not repeated.
func (c *QuarantineClient) Broadcast(ctx context.Context, m quarantiner.Mark) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	message := &peerpb.QuarantineMark{
		Fingerprint: string(m.Fingerprint()),
		Target:      m.Target(),
	}
	if m.Target() == "" {
		message.Kind = peerpb.QuarantineMark_SURVIVED
	}
	var g errgroup.Group
	g.SetLimit(broadcastLimit)
	for _, o := range c.others() {
		g.Go(func() error {
			_, err := peerpb.NewDRPCQuarantinesClient(c.pool.Conn(ctx, o.Address())).Mark(ctx, message)

			return errors.Wrap(err, "sending a mark to a VM")
		})
	}
	_ = g.Wait() // A VM that is not reached still counts the deaths that it observes itself.
}

type markApplier interface {
	Apply(m quarantiner.Mark)
}

// quarantineServer is the Quarantines service that other VMs call.
type quarantineServer struct {
	applier markApplier
}

// RegisterQuarantines registers the Quarantines service, which passes the marks of
// other VMs to the applier, with the mux.
func RegisterQuarantines(mux drpc.Mux, a markApplier) error {
	return errors.Wrap(peerpb.DRPCRegisterQuarantines(mux, &quarantineServer{
		applier: a,
	}), "registering the quarantines service")
}

// Mark implements peerpb.DRPCQuarantinesServer. It ignores a death without a target.
func (s *quarantineServer) Mark(_ context.Context, m *peerpb.QuarantineMark) (*peerpb.QuarantineDone, error) {
	f := quarantiner.Fingerprint(m.GetFingerprint())
	if m.GetKind() == peerpb.QuarantineMark_SURVIVED {
		s.applier.Apply(quarantiner.NewSurvival(f))
	} else if m.GetTarget() != "" {
		s.applier.Apply(quarantiner.NewDeath(f, m.GetTarget()))
	}

	return &peerpb.QuarantineDone{}, nil
}
