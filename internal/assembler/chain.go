package assembler

import (
	"github.com/lagoonkeel/lagoonkeel/internal/filterer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/splitter"
)

// maxFields bounds the number of header fields of a request.
const maxFields = 100

// chain returns the filter chain. Requests pass the filters in the order listed. The last
// filter answers the request.
func (v *VM) chain(last handler.Filter) *handler.Chain {
	// The filter fresh refuses requests with a key while the configuration may lack
	// withdrawals of keys. It runs again before each attempt, since the request may have
	// waited in the queue, or the process may have been suspended, after the first run.
	fresh := filterer.NewFresh(v.follower, v.timers)

	return handler.NewChain(
		filterer.NewTraceRequest(v.tracer),
		filterer.NewCount(v.meter, v.timers),
		filterer.NewLimit(v.settings.MaxBody(), maxFields),
		filterer.NewReady(v.follower),
		filterer.NewClosing(v),
		filterer.NewAuthenticate(v.follower),
		filterer.NewScrub(),
		filterer.NewRoute(splitter.New()),
		fresh,
		filterer.NewDeadline(handler.DefaultDialect().Timeout()),
		filterer.NewQuarantine(v.quarantine),
		filterer.NewClaim(v.claims),
		filterer.NewAdmit(v.borrower, v.tracer),
		filterer.NewQueue(newQueue(v), filterer.ByClass{}, v.timers),
		filterer.NewRetry(retrier.New(), v.timers),
		fresh,
		filterer.NewCrashWatch(v.quarantine, v.transport),
		filterer.NewPick(v.targets.balancer, v.targets.drainer, v.timers),
		filterer.NewTraceAttempt(v.tracer),
		last,
	)
}
