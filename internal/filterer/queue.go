package filterer

import (
	"context"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/queuer"
	"github.com/lagoonkeel/lagoonkeel/internal/ranker"
)

type queue interface {
	// Enter waits until the request may proceed or is refused. Leave must be
	// called with the ticket of every request that was started.
	Enter(ctx context.Context, t *queuer.Ticket) queuer.Verdict
	Leave(t *queuer.Ticket)
}

// queuePolicy decides what differs between the queues of the two chains.
type queuePolicy interface {
	// Rank returns the rank of the request.
	Rank(x *handler.Exchange) ranker.Rank
	// RetryAfter returns the Retry-After of a request that was refused, by its expected
	// wait.
	RetryAfter(x *handler.Exchange, wait time.Duration) time.Duration
}

// Queue holds requests back until there is capacity for them, starts them in a
// fair order and refuses those that would miss their deadline in the queue.
type Queue struct {
	queue  queue
	policy queuePolicy
	clock  clock
}

// NewQueue returns the filter.
func NewQueue(q queue, p queuePolicy, c clock) *Queue {
	return &Queue{
		queue:  q,
		policy: p,
		clock:  c,
	}
}

// Name returns the filter's name.
func (q *Queue) Name() string { return "queue" }

// Handle waits until the request may proceed, and refuses it otherwise.
func (q *Queue) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	ticket := queuer.NewTicket(x.Service(), x.Team(), x.Deadline()).WithRank(q.policy.Rank(x))
	entered := q.clock.Now()
	verdict := q.queue.Enter(ctx, ticket)
	x.SetWaited(q.clock.Now().Sub(entered))
	if !verdict.Started() {
		return handler.NewRefusal(handler.CodeOverload, string(verdict.Reason())).WithRetryAfter(q.policy.RetryAfter(x, verdict.RetryAfter()))
	}
	defer q.queue.Leave(ticket)

	return next.Serve(ctx, x)
}
