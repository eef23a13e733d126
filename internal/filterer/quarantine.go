package filterer

import (
	"context"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/keyer"
	"github.com/lagoonkeel/lagoonkeel/internal/quarantiner"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

type quarantine interface {
	// Empty reports whether no request is suspected.
	Empty() bool
	// Blocked reports whether the request is in quarantine.
	Blocked(f quarantiner.Fingerprint) bool
	// Died notes that the target ended while the request was in flight.
	Died(ctx context.Context, f quarantiner.Fingerprint, target string)
	// Survived notes that the request got a whole answer.
	Survived(ctx context.Context, f quarantiner.Fingerprint)
}

type prober interface {
	// Refuses reports whether the target refuses new connections.
	Refuses(ctx context.Context, target *manifester.Target) bool
}

// Quarantine refuses requests that ended the targets which ran them. Placed
// after the retry filter it also looks at each attempt, and so refuses a retry.
type Quarantine struct {
	quarantine quarantine
	// prober is nil where attempts are not looked at.
	prober prober
}

// NewQuarantine returns a filter that only refuses.
func NewQuarantine(q quarantine) *Quarantine {
	return &Quarantine{
		quarantine: q,
	}
}

// NewCrashWatch returns a filter that refuses and looks at each attempt.
func NewCrashWatch(q quarantine, p prober) *Quarantine {
	return &Quarantine{
		quarantine: q,
		prober:     p,
	}
}

// Name returns the filter's name.
func (q *Quarantine) Name() string {
	if q.prober != nil {
		return "crash-watch"
	}

	return "quarantine"
}

// Handle refuses a request in quarantine.
func (q *Quarantine) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	if !q.quarantine.Empty() && q.quarantine.Blocked(fingerprint(x)) {
		return handler.NewRefusal(handler.CodeQuarantined, "the request ended the targets that ran it and is refused for a while")
	}
	before := x.Attempt()
	err := next.Serve(ctx, x)
	if a := x.Attempt(); q.prober != nil && a != nil && a != before {
		q.judge(ctx, x, a)
	}

	return err
}

// judge notes whether the attempt's target ended or answered.
func (q *Quarantine) judge(ctx context.Context, x *handler.Exchange, a *handler.Attempt) {
	switch a.Fault() {
	case handler.FaultReset, handler.FaultTruncated:
		ctx = context.WithoutCancel(ctx) // The others must know though the caller goes.
		if q.prober.Refuses(ctx, a.Target()) {
			q.quarantine.Died(ctx, fingerprint(x), a.Target().Name())
		}
	case handler.FaultNone:
		if !q.quarantine.Empty() {
			q.quarantine.Survived(ctx, fingerprint(x))
		}
	default:
	}
}

func fingerprint(x *handler.Exchange) quarantiner.Fingerprint {
	team := ""
	if x.Team() != nil {
		team = x.Team().Name()
	}

	return quarantiner.Fingerprint(team + "/" + x.Route().Name() + "/" + keyer.Fingerprint(x.Request()))
}
