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

// Exchange tells the VM at the address the digest of the own quarantine and the snapshots,
// and returns those of that VM, if its digest differs.
func (c *QuarantineClient) Exchange(ctx context.Context, address string, d quarantiner.Digest, list []quarantiner.Snapshot) ([]quarantiner.Snapshot, error) {
	reply, err := peerpb.NewDRPCQuarantinesClient(c.pool.Conn(ctx, address)).Exchange(ctx, &peerpb.QuarantineExchange{
		Digest:    uint32(d),
		Snapshots: encodeSnapshots(list),
	})
	if err != nil {
		return nil, errors.Wrap(err, "exchanging the quarantine with a VM")
	}

	return decodeSnapshots(reply.GetSnapshots()), nil
}

// Addresses returns those of every other VM.
func (c *QuarantineClient) Addresses() []string {
	others := c.others()
	list := make([]string, 0, len(others))
	for _, o := range others {
		list = append(list, o.Address())
	}

	return list
}

func encodeSnapshots(list []quarantiner.Snapshot) []*peerpb.QuarantineSnapshot {
	messages := make([]*peerpb.QuarantineSnapshot, 0, len(list))
	for _, s := range list {
		m := &peerpb.QuarantineSnapshot{
			Fingerprint: string(s.Fingerprint()),
		}
		for _, c := range s.Crashes() {
			m.Crashes = append(m.Crashes, &peerpb.QuarantineSnapshot_Crash{
				Target: c.Target(),
				AgeMs:  milliseconds(c.Age()),
			})
		}
		if since, cleared := s.Cleared(); cleared {
			m.Cleared = true
			m.SinceClearedMs = milliseconds(since)
		}
		messages = append(messages, m)
	}

	return messages
}

func milliseconds(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) } //nolint:gosec // Not below 0.

func decodeSnapshots(messages []*peerpb.QuarantineSnapshot) []quarantiner.Snapshot {
	list := make([]quarantiner.Snapshot, 0, len(messages))
	for _, m := range messages {
		crashes := make([]quarantiner.Crash, 0, len(m.GetCrashes()))
		for _, c := range m.GetCrashes() {
			crashes = append(crashes, quarantiner.NewCrash(c.GetTarget(), duration(c.GetAgeMs())))
		}
		s := quarantiner.NewSnapshot(quarantiner.Fingerprint(m.GetFingerprint()), crashes...)
		if m.GetCleared() {
			s = s.ClearedBefore(duration(m.GetSinceClearedMs()))
		}
		list = append(list, s)
	}

	return list
}

// duration returns the time of the milliseconds, which a VM may have set to any number; it
// is an hour at most, longer than a quarantine and a suspicion.
func duration(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(time.Hour/time.Millisecond))) * time.Millisecond //nolint:gosec // An hour at most.
}

type quarantine interface {
	Apply(m quarantiner.Mark)
	// Answer takes over the snapshots of another VM, and returns those of this one if the
	// digest differs.
	Answer(d quarantiner.Digest, list []quarantiner.Snapshot) []quarantiner.Snapshot
}

// quarantineServer is the Quarantines service that other VMs call.
type quarantineServer struct {
	quarantine quarantine
}

// RegisterQuarantines registers the Quarantines service, by which other VMs reach the
// quarantine, with the mux.
func RegisterQuarantines(mux drpc.Mux, q quarantine) error {
	return errors.Wrap(peerpb.DRPCRegisterQuarantines(mux, &quarantineServer{
		quarantine: q,
	}), "registering the quarantines service")
}

// Exchange implements peerpb.DRPCQuarantinesServer.
func (s *quarantineServer) Exchange(_ context.Context, m *peerpb.QuarantineExchange) (*peerpb.QuarantineSnapshots, error) {
	list := s.quarantine.Answer(quarantiner.Digest(m.GetDigest()), decodeSnapshots(m.GetSnapshots()))

	return &peerpb.QuarantineSnapshots{
		Snapshots: encodeSnapshots(list),
	}, nil
}

// Mark implements peerpb.DRPCQuarantinesServer. It ignores a death without a target.
func (s *quarantineServer) Mark(_ context.Context, m *peerpb.QuarantineMark) (*peerpb.QuarantineDone, error) {
	f := quarantiner.Fingerprint(m.GetFingerprint())
	if m.GetKind() == peerpb.QuarantineMark_SURVIVED {
		s.quarantine.Apply(quarantiner.NewSurvival(f))
	} else if m.GetTarget() != "" {
		s.quarantine.Apply(quarantiner.NewDeath(f, m.GetTarget()))
	}

	return &peerpb.QuarantineDone{}, nil
}
