package assembler

import (
	"github.com/lagoonkeel/lagoonkeel/internal/borrower"
	"github.com/lagoonkeel/lagoonkeel/internal/granter"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/messenger"
)

// rates are the two sides of the fleet-wide rates on one VM.
type rates struct {
	// granter grants the slots that this VM holds; borrower admits callers'
	// requests by what the holders grant.
	granter  *granter.Granter
	borrower *borrower.Borrower
}

// newRates builds the rates and registers their messages.
func newRates(v *VM) (*rates, error) {
	g := granter.New(v.watcher, v.follower, v.timers)
	if err := v.server.RegisterRates(g); err != nil {
		return nil, err
	}
	client := messenger.NewRateClient(member.ID(v.settings.ID()), g, v.pool)

	return &rates{
		granter:  g,
		borrower: borrower.New(v.timers, v.watcher, client),
	}, nil
}
