package handler

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// Exchange is one request that passes through the chain, with its response and
// the state that the filters have added. It is owned by one goroutine at a time.
type Exchange struct {
	request  *Request
	response *Response
	// arrived is the instant at which the request had been read.
	arrived timer.Instant
	// deadline is the instant by which the response must be ready; 0 until the
	// deadline filter has run.
	deadline timer.Instant
	// manifest is the configuration by which this exchange is decided. It does
	// not change during the exchange.
	manifest *manifester.Manifest
	team     *manifester.Team
	// keyDigest is the digest of the caller's key; "" without one.
	keyDigest string
	route     *manifester.Route
	service   *manifester.Service
	target    *manifester.Target
	// tried lists the names of the targets chosen so far, the present one last.
	tried []string
	// attempt is the result of the last attempt; nil before the first.
	attempt *Attempt
	// history lists the completed attempts in order.
	history []AttemptRecord
	// stop is the reason why no further attempt followed.
	stop StopReason
	// retryDelay is the total time that retries waited, and retryBasis holds the data
	// behind their delay or refusal, for the log; 0 and "" unless the service is under
	// pressure.
	retryDelay time.Duration
	retryBasis string
	// risk is the failure probability of the present target that was estimated
	// when it was chosen. trial is set if the target was preferred because it had
	// received no recent requests.
	risk  float64
	trial bool
	// hedge is set in the copy of an exchange on which a hedge runs.
	hedge bool
	// placement is the target of the attempt on a copy of an exchange; nil on the
	// original.
	placement *placement
	// heldBytes is the memory reserved for the bodies of the exchange, which the front
	// end releases once the response was written.
	heldBytes int64
	// waited is how long the request waited in the queue.
	waited time.Duration
	// firstByteTimeout bounds the wait for the first byte of the next attempt's
	// response; 0 if only the deadline bounds it.
	firstByteTimeout time.Duration
}

// NewExchange returns the exchange of a request that had been read at the
// instant arrived.
func NewExchange(request *Request, arrived timer.Instant) *Exchange {
	return &Exchange{
		request: request,
		arrived: arrived,
	}
}

// Request returns the caller's request.
func (x *Exchange) Request() *Request { return x.request }

// Response returns the response, or nil while there is none.
func (x *Exchange) Response() *Response { return x.response }

// SetResponse sets the response.
func (x *Exchange) SetResponse(r *Response) { x.response = r }

// Arrived returns the instant at which the request had been read.
func (x *Exchange) Arrived() timer.Instant { return x.arrived }

// Deadline returns the instant by which the response must be ready, or 0 if none
// is set.
func (x *Exchange) Deadline() timer.Instant { return x.deadline }

// SetDeadline sets the instant by which the response must be ready.
func (x *Exchange) SetDeadline(t timer.Instant) { x.deadline = t }

// Manifest returns the configuration by which the exchange is decided.
func (x *Exchange) Manifest() *manifester.Manifest { return x.manifest }

// SetManifest sets the configuration by which the exchange is decided.
func (x *Exchange) SetManifest(m *manifester.Manifest) { x.manifest = m }

// Team returns the team to which the request's key belongs, or nil.
func (x *Exchange) Team() *manifester.Team { return x.team }

// SetTeam sets the team, which is nil for an unknown key, and the digest of the
// request's key.
func (x *Exchange) SetTeam(t *manifester.Team, keyDigest string) {
	x.team = t
	x.keyDigest = keyDigest
}

// KeyDigest returns the digest of the caller's key, or "".
func (x *Exchange) KeyDigest() string { return x.keyDigest }

// Route returns the route of the request, or nil.
func (x *Exchange) Route() *manifester.Route { return x.route }

// Service returns the service of the request, or nil.
func (x *Exchange) Service() *manifester.Service { return x.service }

// SetRoute sets the route and the service chosen for the request.
func (x *Exchange) SetRoute(r *manifester.Route, s *manifester.Service) {
	x.route = r
	x.service = s
}

// Target returns the target of the present attempt, or nil.
func (x *Exchange) Target() *manifester.Target { return x.target }

// SetTarget sets the target of the present attempt and adds it to the targets
// tried.
func (x *Exchange) SetTarget(t *manifester.Target) {
	x.target = t
	x.tried = append(x.tried, t.Name())
}

// Tried returns the names of the targets chosen so far.
func (x *Exchange) Tried() []string { return x.tried }

// Attempt returns the result of the last attempt, or nil before the first.
func (x *Exchange) Attempt() *Attempt { return x.attempt }

// SetAttempt stores the result of an attempt, replaces the response by the
// attempt's, which may be nil, and appends the attempt to the history.
func (x *Exchange) SetAttempt(a *Attempt) {
	x.attempt = a
	x.response = a.Response()
	x.history = append(x.history, AttemptRecord{
		attempt: a,
		risk:    x.risk,
		trial:   x.trial,
		hedge:   x.hedge,
	})
}

// SetRiskAndTrial sets the failure probability of the target that was estimated when
// it was chosen, and whether the target was preferred because it had received no
// recent requests.
func (x *Exchange) SetRiskAndTrial(risk float64, trial bool) {
	x.risk = risk
	x.trial = trial
	if x.placement != nil {
		x.placement.set(x)
	}
}

// History returns the completed attempts in order.
func (x *Exchange) History() []AttemptRecord { return x.history }

// Stop returns the reason why no further attempt followed the last one.
func (x *Exchange) Stop() StopReason { return x.stop }

// SetStop sets the reason why no further attempt follows.
func (x *Exchange) SetStop(s StopReason) { x.stop = s }

// RetryDelay returns the total time that the retries of the request waited.
func (x *Exchange) RetryDelay() time.Duration { return x.retryDelay }

// RetryBasis returns the data behind the delay or the refusal of a retry, for the log, or
// "" if the service was not under pressure.
func (x *Exchange) RetryBasis() string { return x.retryBasis }

// AddRetryDelay adds the time that a retry waited.
func (x *Exchange) AddRetryDelay(d time.Duration) { x.retryDelay += d }

// SetRetryBasis sets the data behind the delay or the refusal of a retry.
func (x *Exchange) SetRetryBasis(text string) { x.retryBasis = text }

// Hedge reports whether the exchange is a copy on which a hedge runs.
func (x *Exchange) Hedge() bool { return x.hedge }

// AttemptRecord is one entry in the history of an exchange.
type AttemptRecord struct {
	attempt *Attempt
	// risk is the failure probability of the target that was estimated when it
	// was chosen; 0 if it is not known.
	risk float64
	// trial is set if the target was preferred because it had received no recent
	// requests.
	trial bool
	// hedge is set if the attempt was made while an earlier one was in flight.
	hedge bool
}

// Attempt returns the attempt.
func (r AttemptRecord) Attempt() *Attempt { return r.attempt }

// Risk returns the failure probability of the target that was estimated when it
// was chosen; 0 if it is not known.
func (r AttemptRecord) Risk() float64 { return r.risk }

// Trial reports whether the target was preferred because it had received no
// recent requests.
func (r AttemptRecord) Trial() bool { return r.trial }

// Hedge reports whether the attempt was made while an earlier one was in flight.
func (r AttemptRecord) Hedge() bool { return r.hedge }

// Hold adds to the bytes reserved for the bodies of the exchange.
func (x *Exchange) Hold(n int64) { x.heldBytes += n }

// Held returns the bytes reserved for the bodies of the exchange.
func (x *Exchange) Held() int64 { return x.heldBytes }

// Waited returns how long the request waited in the queue.
func (x *Exchange) Waited() time.Duration { return x.waited }

// SetWaited sets how long the request waited in the queue.
func (x *Exchange) SetWaited(d time.Duration) { x.waited = d }

// FirstByteTimeout returns the timeout for the first byte of the next attempt's
// response, or 0 if only the deadline bounds the wait.
func (x *Exchange) FirstByteTimeout() time.Duration { return x.firstByteTimeout }

// SetFirstByteTimeout sets the timeout for the first byte of the next attempt's
// response; 0 if only the deadline bounds the wait.
func (x *Exchange) SetFirstByteTimeout(d time.Duration) { x.firstByteTimeout = d }

// Idempotent reports whether the request may be sent more than once.
func (x *Exchange) Idempotent() bool { return x.route != nil && x.route.Idempotent() }
