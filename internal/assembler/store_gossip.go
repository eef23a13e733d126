package assembler

import (
	"context"
	"net"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/assigner"
	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/internal/encoder"
	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/gossiper"
	"github.com/lagoonkeel/lagoonkeel/internal/placer"
	"github.com/lagoonkeel/lagoonkeel/internal/quarantiner"
	"github.com/lagoonkeel/lagoonkeel/internal/signer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// addGossip builds the parts that exchange state with other VMs or depend on that
// state: the quarantine, the gossiper and the placer.
func (v *StoreVM) addGossip(conn net.PacketConn) {
	broadcaster := &deferredBroadcaster{}
	v.quarantine = quarantiner.New(v.timers, broadcaster, v.logger)
	spec := gossiper.Spec{
		Conn:       conn,
		Self:       v.settings.Peers(),
		DataCentre: v.settings.DataCentre(),
		StartID:    uint32(time.Now().UnixMilli()), //nolint:gosec // It tells two runs apart and may wrap around.
		Codec: &reportCodec{
			signer: signer.New(v.settings.PeerKeys()),
		},
		Clock:      v.timers,
		Tallier:    v.tallier,
		Estimator:  v.estimator,
		Notices:    v,
		Quarantine: v.quarantine,
		Loads:      v.loads,
		Logger:     v.logger,

		MaxRelayedRecord: v.settings.MaxRelayedRecord(),
	}
	if v.spacing != nil {
		spec.Rejections = v.spacing.rejections
	}
	v.gossiper = gossiper.New(spec)
	broadcaster.delegate = v.gossiper
	v.addPlacer()
}

// addPlacer builds the placer and the parts that it asks about targets.
func (v *StoreVM) addPlacer() {
	v.pacer = v.newPacer()
	spec := placer.Spec{
		DataCentre:  v.settings.DataCentre(),
		Targets:     v.registrar,
		Risks:       v.estimator,
		Observer:    v.estimator,
		Reporter:    v.gossiper,
		Leaving:     v.registrar,
		RemoteLoad:  v.gossiper,
		Pacer:       v.pacer,
		Clock:       v.timers,
		Degraded:    v.watcher.Degraded,
		KeepOverdue: v.stopping,
	}
	if v.settings.AssignsTargets() {
		v.assigner = assigner.New(assigner.Spec{
			Self:       v.settings.Peers(),
			DataCentre: v.settings.DataCentre(),
			Fleet:      v.gossiper,
			Targets:    v.registrar,
			Clock:      v.timers,
		})
		spec.Assignment = v.assigner
	}
	if v.spacing != nil {
		spec.Rejections = v.spacing.rejections
	}
	v.placer = placer.New(spec)
}

// loads returns the number of open requests of this VM at each target, and of those that
// wait for each service.
func (v *StoreVM) loads() []gossiper.Load {
	list := v.waitingLoads()
	v.placer.OpenAttempts(func(k estimator.Key, open int) {
		list = append(list, gossiper.NewLoad(k, uint32(open))) //nolint:gosec // A few hundred at most.
	})

	return list
}

// ObserveNotice applies what a target stated about itself to another VM.
func (v *StoreVM) ObserveNotice(now timer.Instant, k estimator.Key, o estimator.Outcome) {
	if o == estimator.OutcomeLeaving {
		v.registrar.MarkLeaving(now, k)
	} else {
		v.placer.NoteFull(now, k)
	}
}

// reportCodec encodes and signs reports, and verifies and decodes them.
type reportCodec struct {
	signer *signer.Signer
}

// Encode returns the signed bytes of a report.
func (c *reportCodec) Encode(r *gossiper.Report) []byte { return c.signer.Sign(encoder.Report(r)) }

// Decode returns the report that the signed bytes encode.
func (c *reportCodec) Decode(signed []byte) (*gossiper.Report, error) {
	data, err := c.signer.Open(signed)
	if err != nil {
		return nil, err
	}

	return decoder.Report(data)
}

// deferredBroadcaster passes quarantine marks to the gossiper. It exists because the
// quarantine, which sends the marks, is built before the gossiper.
type deferredBroadcaster struct {
	delegate *gossiper.Gossiper
}

// Broadcast sends the mark to every other VM.
func (b *deferredBroadcaster) Broadcast(ctx context.Context, m quarantiner.Mark) {
	b.delegate.Broadcast(ctx, m)
}
