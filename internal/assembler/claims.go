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

// connections returns this VM's share of the connections that the whole fleet may
// hold open to the target, but at least one for each slot of the target.
func (v *VM) connections(target *manifester.Target) int {
	return max(target.Slots(), target.Connections()/max(1, v.memberCount()))
}

// membership gives the holder of claims access to the fleet's membership.
type membership struct {
	member *member.Controller
}

// Active reports whether this VM may act as the holder of the range at this moment,
// and in which term.
func (m *membership) Active(r member.Range) (member.Term, bool) { return m.member.Active(r) }

// Holder returns the member that should hold the range.
func (m *membership) Holder(r member.Range) member.VM { return m.member.View().Holder(r) }

// Self returns this VM.
func (m *membership) Self() member.VM { return m.member.View().Self() }

// Peers returns every other member.
func (m *membership) Peers() []member.VM { return m.member.View().Peers() }

// addClaims builds the parts that keep claims and the quarantine, connects them to
// the log and the peers, and registers the services that peers call.
func addClaims(v *VM) error {
	ledger := claimer.NewLedger()
	journal := claimer.NewJournal(ledger, streamer.NewClient(v.settings.LogURL()), messenger.ClaimCodec{}, v.timers, v.logger)
	holder := claimer.NewHolder(ledger, journal, &membership{member: v.member}, messenger.NewClaimClient(v.pool), v.timers, v.logger)
	v.claims = claimer.NewClient(holder)
	if err := messenger.RegisterClaims(v.server.Mux(), holder, v.claims); err != nil {
		return errors.Wrap(err, "registering the claims service")
	}
	v.controllers = append(v.controllers, journal, holder)
	others := func() []member.VM { return v.member.View().Peers() }
	quarantines := messenger.NewQuarantineClient(v.pool, others)
	v.quarantine = quarantiner.New(v.timers, quarantines, v.logger)
	v.controllers = append(v.controllers, quarantiner.NewExchanger(v.quarantine, quarantines, v.timers))

	return errors.Wrap(messenger.RegisterQuarantines(v.server.Mux(), v.quarantine), "registering the quarantine service")
}
