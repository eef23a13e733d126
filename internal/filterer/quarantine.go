package filterer

import (
	"context"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/keyer"
	"github.com/lagoonkeel/lagoonkeel/internal/quarantiner"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

type quarantine interface {
	// Empty reports whether no request is under suspicion.
	Empty() bool
	// Blocked reports whether the request is in quarantine.
	Blocked(f quarantiner.Fingerprint) bool
	// RecordDeath records that the target died while the request was in flight.
	RecordDeath(ctx context.Context, f quarantiner.Fingerprint, target string)
	// RecordSurvival records that the target sent a complete response to the request.
	RecordSurvival(ctx context.Context, f quarantiner.Fingerprint)
}

type prober interface {
	// RefusesConnections reports whether the target refuses new connections.
	RefusesConnections(ctx context.Context, target *manifester.Target) bool
}

// Quarantine refuses requests whose targets died while they ran them. The
// crash watch is a second instance after the retry filter: it also examines the
// result of each attempt, and refuses a retry of a request that is in quarantine.
type Quarantine struct {
	quarantine quarantine
	// prober is nil if attempts are not examined.
	prober prober
}

// NewQuarantine returns a filter that refuses requests in quarantine and does
// not examine attempts.
func NewQuarantine(q quarantine) *Quarantine {
	return &Quarantine{
		quarantine: q,
	}
}

// NewCrashWatch returns a filter that refuses requests in quarantine and
// examines each attempt.
func NewCrashWatch(q quarantine, p prober) *Quarantine {
	return &Quarantine{
		quarantine: q,
		prober:     p,
	}
}

// Name returns the filter's name, which differs for a crash watch.
func (q *Quarantine) Name() string {
	if q.prober != nil {
		return "crash-watch"
	}

	return "quarantine"
}

// Handle refuses a request in quarantine. A crash watch also examines the
// attempt.
func (q *Quarantine) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	if !q.quarantine.Empty() && q.quarantine.Blocked(fingerprint(x)) {
		return handler.NewRefusal(handler.CodeQuarantined, "the request ended the targets that ran it and is refused for a while")
	}
	previous := x.Attempt()
	err := next.Serve(ctx, x)
	if a := x.Attempt(); q.prober != nil && a != nil && a != previous {
		q.observe(ctx, x, a)
	}

	return err
}

// observe records whether the attempt's target died or sent a complete response.
func (q *Quarantine) observe(ctx context.Context, x *handler.Exchange, a *handler.Attempt) {
	switch a.Fault() {
	case handler.FaultReset, handler.FaultTruncated:
		ctx = context.WithoutCancel(ctx) // The other VMs must be told even if the caller disconnects.
		if q.prober.RefusesConnections(ctx, a.Target()) {
			q.quarantine.RecordDeath(ctx, fingerprint(x), a.Target().Name())
		}
	case handler.FaultNone:
		if !q.quarantine.Empty() {
			q.quarantine.RecordSurvival(ctx, fingerprint(x))
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
