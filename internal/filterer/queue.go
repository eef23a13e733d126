package filterer

import (
	"context"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/queuer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

type queue interface {
	// Enter waits until the request may proceed or is refused. Leave must be
	// called with the ticket of every request that was started.
	Enter(ctx context.Context, s *manifester.Service, team *manifester.Team, deadline timer.Instant) (*queuer.Ticket, queuer.Verdict)
	Leave(t *queuer.Ticket)
}

// Queue holds requests back until there is capacity for them, starts them in a
// fair order and refuses those that would miss their deadline in the queue.
type Queue struct {
	queue queue
}

// NewQueue returns the filter.
func NewQueue(q queue) *Queue {
	return &Queue{
		queue: q,
	}
}

// Name returns the filter's name.
func (q *Queue) Name() string { return "queue" }

// Handle waits until the request may proceed, and refuses it otherwise.
func (q *Queue) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	ticket, verdict := q.queue.Enter(ctx, x.Service(), x.Team(), x.Deadline())
	if !verdict.Started() {
		return handler.NewRefusal(handler.CodeOverload, string(verdict.Reason())).WithRetryAfter(verdict.RetryAfter())
	}
	defer q.queue.Leave(ticket)

	return next.Serve(ctx, x)
}
