package messenger

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/granter"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/peerpb"
)

// maxRequestedTokens is the maximum number of needed tokens, and of spare tokens, that
// one request may ask for; higher numbers are clamped to it.
const maxRequestedTokens = 1 << 20

// RateReplyError is the error for a reply with a state that this VM does not know.
type RateReplyError struct {
	state peerpb.RateState
}

// Error implements error.
func (e *RateReplyError) Error() string {
	return fmt.Sprintf("a peer replied to a request for tokens with the unknown state %d; it may run another version", e.state)
}

type tokenGranter interface {
	Grant(r granter.TokenRequest) granter.Reply
}

// rateServer is the Rates service that other VMs call.
type rateServer struct {
	granter tokenGranter
}

// RegisterRates registers the Rates service, which passes requests for tokens to the
// granter, with the server.
func (s *Server) RegisterRates(g tokenGranter) error {
	return errors.Wrap(peerpb.DRPCRegisterRates(s.mux, &rateServer{
		granter: g,
	}), "registering the rates service")
}

// Ask implements peerpb.DRPCRatesServer.
func (s *rateServer) Ask(_ context.Context, m *peerpb.RateAsk) (*peerpb.RateReply, error) {
	return encodeRateReply(s.granter.Grant(decodeRateAsk(m))), nil
}

// RateClient sends requests for tokens to the holders of slots.
type RateClient struct {
	self  member.ID
	local tokenGranter
	pool  *Pool
}

// NewRateClient returns a client for the VM self. Requests to self go to the local
// granter, the others over the pool's connections.
func NewRateClient(self member.ID, local tokenGranter, p *Pool) *RateClient {
	return &RateClient{
		self:  self,
		local: local,
		pool:  p,
	}
}

// RequestTokens sends a request for tokens to a holder and returns its reply. The
// error is a *RateReplyError if the reply has an unknown state.
func (c *RateClient) RequestTokens(ctx context.Context, holder member.VM, r granter.TokenRequest) (granter.Reply, error) {
	if holder.ID() == c.self {
		return c.local.Grant(r), nil
	}
	m, err := peerpb.NewDRPCRatesClient(c.pool.Conn(ctx, holder.Address())).Ask(ctx, encodeRateAsk(r))
	if err != nil {
		return granter.Reply{}, errors.Wrap(err, "asking a holder for tokens")
	}

	return decodeRateReply(m)
}

func encodeRateAsk(r granter.TokenRequest) *peerpb.RateAsk {
	return &peerpb.RateAsk{
		Team:   r.Team(),
		Slot:   clampUint32(int64(r.Slot())),
		Needed: clampUint32(int64(r.Needed())),
		Spare:  clampUint32(int64(r.Spare())),
	}
}

func decodeRateAsk(m *peerpb.RateAsk) granter.TokenRequest {
	return granter.NewTokenRequest(m.GetTeam(), int(m.GetSlot()), int(min(maxRequestedTokens, m.GetNeeded())), int(min(maxRequestedTokens, m.GetSpare())))
}

func encodeRateReply(r granter.Reply) *peerpb.RateReply {
	m := &peerpb.RateReply{
		Tokens:         clampUint32(int64(r.Tokens())),
		LifetimeMicros: clampUint32(r.Lifetime().Microseconds()),
		WaitMicros:     clampUint32(r.Wait().Microseconds()),
	}
	switch r.State() {
	case granter.StateGranted:
		m.State = peerpb.RateState_RATE_STATE_GRANTED
	case granter.StateNotHolder:
		m.State = peerpb.RateState_RATE_STATE_NOT_HOLDER
	case granter.StateUnknownSlot:
		m.State = peerpb.RateState_RATE_STATE_UNKNOWN_SLOT
	}

	return m
}

func decodeRateReply(m *peerpb.RateReply) (granter.Reply, error) {
	switch m.GetState() {
	case peerpb.RateState_RATE_STATE_GRANTED:
		return granter.NewReply(int(m.GetTokens()), decodeMicros(m.GetLifetimeMicros()), decodeMicros(m.GetWaitMicros())), nil
	case peerpb.RateState_RATE_STATE_NOT_HOLDER:
		return granter.NewRejection(granter.StateNotHolder), nil
	case peerpb.RateState_RATE_STATE_UNKNOWN_SLOT:
		return granter.NewRejection(granter.StateUnknownSlot), nil
	default:
		return granter.Reply{}, &RateReplyError{
			state: m.GetState(),
		}
	}
}

func decodeMicros(n uint32) time.Duration {
	return time.Duration(n) * time.Microsecond
}

// clampUint32 returns the value nearest to n that a uint32 can hold.
func clampUint32(n int64) uint32 {
	return uint32(min(math.MaxUint32, max(0, n))) //nolint:gosec // The value is in range.
}
