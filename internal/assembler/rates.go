package assembler

import (
	"github.com/lagoonkeel/lagoonkeel/internal/borrower"
	"github.com/lagoonkeel/lagoonkeel/internal/granter"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/messenger"
)

// addRates builds both sides of the fleet-wide rates: the granter of the slots
// that this VM holds, and the borrower that admits callers' requests.
func addRates(v *VM) error {
	g := granter.New(v.member, v.follower, v.timers)
	if err := v.server.RegisterRates(g); err != nil {
		return err
	}
	client := messenger.NewRateClient(member.ID(v.settings.ID()), g, v.pool)
	v.borrower = borrower.New(v.timers, v.member, client)
	v.controllers = append(v.controllers, g, v.borrower)

	return nil
}
