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
	// spreadTimeout bounds the telling of one mark to all VMs.
	spreadTimeout = 300 * time.Millisecond
	// spreadLimit bounds the calls under way at once for one mark.
	spreadLimit = 64
)

// QuarantinePeers tells other VMs of marks. It is safe for concurrent use.
type QuarantinePeers struct {
	pool *Pool
	// others returns every other VM.
	others func() []member.VM
}

// NewQuarantinePeers returns the caller's side on the pool.
func NewQuarantinePeers(p *Pool, others func() []member.VM) *QuarantinePeers {
	return &QuarantinePeers{
		pool:   p,
		others: others,
	}
}

// Spread tells every other VM, for a bounded time.
func (p *QuarantinePeers) Spread(ctx context.Context, m quarantiner.Mark) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	message := &peerpb.QuarantineMark{
		Fingerprint: string(m.Fingerprint()),
		Target:      m.Target(),
	}
	if m.Target() == "" {
		message.Kind = peerpb.QuarantineMark_SURVIVED
	}
	var g errgroup.Group
	g.SetLimit(spreadLimit)
	for _, o := range p.others() {
		g.Go(func() error {
			_, err := peerpb.NewDRPCQuarantinesClient(p.pool.Conn(ctx, o.Address())).Mark(ctx, message)

			return errors.Wrap(err, "spreading a mark")
		})
	}
	_ = g.Wait() // A VM that was not reached counts its own deaths.
}

type markTaker interface {
	Apply(m quarantiner.Mark)
}

// quarantineServer takes the marks of other VMs.
type quarantineServer struct {
	taker markTaker
}

// RegisterQuarantines registers the taking of marks with the mux.
func RegisterQuarantines(mux drpc.Mux, t markTaker) error {
	return errors.Wrap(peerpb.DRPCRegisterQuarantines(mux, &quarantineServer{
		taker: t,
	}), "registering quarantines")
}

// Mark takes in one mark.
func (s *quarantineServer) Mark(_ context.Context, m *peerpb.QuarantineMark) (*peerpb.QuarantineDone, error) {
	f := quarantiner.Fingerprint(m.GetFingerprint())
	if m.GetKind() == peerpb.QuarantineMark_SURVIVED {
		s.taker.Apply(quarantiner.NewSurvival(f))
	} else if m.GetTarget() != "" {
		s.taker.Apply(quarantiner.NewDeath(f, m.GetTarget()))
	}

	return &peerpb.QuarantineDone{}, nil
}
