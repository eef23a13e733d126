package forecaster

import (
	"context"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/admitter"
	"github.com/lagoonkeel/lagoonkeel/internal/filterer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/queuer"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/internal/tracer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// steps builds the filters of one forecast. They are those of the chain, on top of parts
// that only answer.
type steps struct {
	spec    Spec
	out     *Forecast
	request Request
}

func (f *Forecaster) newSteps(out *Forecast, r Request) *steps {
	return &steps{
		spec:    f.spec,
		out:     out,
		request: r,
	}
}

// beforeRoute returns the filters up to the one that finds the route.
func (s *steps) beforeRoute() []handler.Filter {
	return []handler.Filter{
		filterer.NewReady(s.spec.Readiness),
		filterer.NewClosing(s.spec.Closer),
		&identify{
			source: s.spec.Manifests,
			team:   s.request.Team,
		},
		filterer.NewRoute(&splitQuery{
			splitter: s.spec.Splitter,
		}),
	}
}

func (s *steps) deadline() handler.Filter { return filterer.NewDeadline(s.spec.TimeoutField) }

// afterQuarantine returns the filters from there to the attempts.
func (s *steps) afterQuarantine() []handler.Filter {
	admit := filterer.NewAdmit(&rateQuery{
		limits: s.spec.Limits,
		clock:  s.spec.Clock,
		out:    s.out,
	}, tracer.Off())
	if s.spec.Queue == nil {
		return []handler.Filter{admit}
	}
	queue := filterer.NewQueue(&queueQuery{
		spec: s.spec,
		out:  s.out,
	}, filterer.NewByPriority(s.spec.Clock), s.spec.Clock)

	return []handler.Filter{admit, queue}
}

// identify sets the team by its name. It takes the place of the filter that finds the team
// of a key: a name that the configuration does not have counts as a key that is not valid.
type identify struct {
	source manifestSource
	team   string
}

// Name returns the name of the filter that it stands for.
func (*identify) Name() string { return "identify" }

// Handle sets the manifest and the team.
func (i *identify) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	x.SetManifest(i.source.Manifest())
	if i.team != "" {
		team, _ := x.Manifest().Team(i.team)
		x.SetTeam(team, i.team)
	}

	return next.Serve(ctx, x)
}

// splitQuery chooses a service and leaves the position of the route as it is.
type splitQuery struct {
	splitter splitter
}

// Choose returns the service that the next request goes to.
func (p *splitQuery) Choose(r *manifester.Route) string { return p.splitter.Peek(r) }

// rateQuery decides as the rate limit of the team does, and counts nothing.
type rateQuery struct {
	limits limits
	clock  clock
	out    *Forecast
}

// Admit returns whether the team's rate allows one more request.
func (r *rateQuery) Admit(_ context.Context, _ timer.Instant, team *manifester.Team) admitter.Verdict {
	p := r.limits.PreviewAcquire(r.clock.Now(), tallier.TeamAccount(team.Name()))
	r.out.rate = newBudget(p)
	if p.Allows() {
		return admitter.Admitted()
	}

	return admitter.Refused(time.Duration(0))
}

// queueQuery decides as the queue does, and lets nothing wait.
type queueQuery struct {
	spec Spec
	out  *Forecast
}

// Enter returns whether the request would be started.
func (l *queueQuery) Enter(_ context.Context, t *queuer.Ticket) queuer.Verdict {
	p := l.spec.Queue.Preview(t, l.spec.Rooms.Peek(l.out.service.Name()))
	l.out.queue = &p

	return p.Verdict()
}

// Leave does nothing, as nothing entered.
func (*queueQuery) Leave(*queuer.Ticket) {}
