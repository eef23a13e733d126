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

// maxAsk bounds the tokens that one message asks for.
const maxAsk = 1 << 20

// RateReplyError reports a reply to an ask that could not be read.
type RateReplyError struct {
	state peerpb.RateState
}

// Error implements error.
func (e *RateReplyError) Error() string {
	return fmt.Sprintf("a peer answered an ask for tokens with state %d; is it of another version?", e.state)
}

type granting interface {
	Grant(a granter.Ask) granter.Reply
}

// rateServer answers the asks of peers.
type rateServer struct {
	granting granting
}

// RegisterRates lets the server answer asks for tokens.
func (s *Server) RegisterRates(g granting) error {
	return errors.Wrap(peerpb.DRPCRegisterRates(s.mux, &rateServer{
		granting: g,
	}), "registering the rates service")
}

// Ask implements peerpb.DRPCRatesServer.
func (s *rateServer) Ask(_ context.Context, m *peerpb.RateAsk) (*peerpb.RateReply, error) {
	return encodeRateReply(s.granting.Grant(decodeRateAsk(m))), nil
}

// RateClient asks the holders of slots for tokens.
type RateClient struct {
	self  member.ID
	local granting
	pool  *Pool
}

// NewRateClient returns a client for the VM self; the slots that it holds
// itself are granted locally.
func NewRateClient(self member.ID, local granting, p *Pool) *RateClient {
	return &RateClient{
		self:  self,
		local: local,
		pool:  p,
	}
}

// Ask asks a holder for tokens.
func (c *RateClient) Ask(ctx context.Context, holder member.VM, a granter.Ask) (granter.Reply, error) {
	if holder.ID() == c.self {
		return c.local.Grant(a), nil
	}
	m, err := peerpb.NewDRPCRatesClient(c.pool.Conn(ctx, holder.Address())).Ask(ctx, encodeRateAsk(a))
	if err != nil {
		return granter.Reply{}, errors.Wrap(err, "asking a holder for tokens")
	}

	return decodeRateReply(m)
}

func encodeRateAsk(a granter.Ask) *peerpb.RateAsk {
	return &peerpb.RateAsk{
		Team:   a.Team(),
		Slot:   clampUint32(int64(a.Slot())),
		Needed: clampUint32(int64(a.Needed())),
		Spare:  clampUint32(int64(a.Spare())),
	}
}

func decodeRateAsk(m *peerpb.RateAsk) granter.Ask {
	return granter.NewAsk(m.GetTeam(), int(m.GetSlot()), int(min(maxAsk, m.GetNeeded())), int(min(maxAsk, m.GetSpare())))
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
		return granter.NewReply(int(m.GetTokens()), micros(m.GetLifetimeMicros()), micros(m.GetWaitMicros())), nil
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

func micros(n uint32) time.Duration {
	return time.Duration(n) * time.Microsecond
}

// clampUint32 returns the nearest value that the message can carry.
func clampUint32(n int64) uint32 {
	return uint32(min(math.MaxUint32, max(0, n))) //nolint:gosec // The value is in range.
}
