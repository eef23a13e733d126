package assembler

import (
	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/claimer"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/messenger"
	"github.com/lagoonkeel/lagoonkeel/internal/quarantiner"
	"github.com/lagoonkeel/lagoonkeel/internal/streamer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// connections returns this VM's part of the connections that the whole fleet
// may hold open to the target, and at least one for each slot.
func (v *VM) connections(target *manifester.Target) int {
	return max(target.Slots(), target.Connections()/max(1, v.members()))
}

// fleet is the membership as claims need it.
type fleet struct {
	member *member.Keeper
}

// Active reports whether this VM may act as holder at this moment.
func (f *fleet) Active(r member.Range) (member.Term, bool) { return f.member.Active(r) }

// Holder returns the member that should hold the range.
func (f *fleet) Holder(r member.Range) member.VM { return f.member.View().Holder(r) }

// Self returns this VM.
func (f *fleet) Self() member.VM { return f.member.View().Self() }

// Peers returns every other member.
func (f *fleet) Peers() []member.VM { return f.member.View().Peers() }

// addClaims joins the ledger of claims and the quarantine with the log and the
// peers.
func addClaims(v *VM) error {
	ledger := claimer.NewLedger()
	journal := claimer.NewJournal(ledger, streamer.NewClient(v.settings.LogBase()), messenger.ClaimCodec{}, v.timers, v.logger)
	holder := claimer.NewHolder(ledger, journal, &fleet{member: v.member}, messenger.NewClaimPeers(v.pool), v.timers, v.logger)
	v.claims = claimer.NewSender(holder)
	if err := messenger.RegisterClaims(v.server.Mux(), holder, v.claims); err != nil {
		return errors.Wrap(err, "building claims")
	}
	v.controllers = append(v.controllers, journal, holder)
	others := func() []member.VM { return v.member.View().Peers() }
	v.quarantine = quarantiner.New(v.timers, messenger.NewQuarantinePeers(v.pool, others), v.logger)

	return errors.Wrap(messenger.RegisterQuarantines(v.server.Mux(), v.quarantine), "building the quarantine")
}
