package messenger

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/internal/encoder"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/peerpb"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
)

type pingHandler interface {
	Handle(ctx context.Context, p *member.Ping) (*member.Reply, error)
}

// ServeMembership answers pings with the handler.
func (s *Server) ServeMembership(h pingHandler) error {
	return errors.Wrap(peerpb.DRPCRegisterMembership(s.mux, &membership{
		handler: h,
	}), "registering the membership service")
}

// Membership sends pings to other VMs.
type Membership struct {
	pool *Pool
}

// NewMembership returns a client that calls over the pool.
func NewMembership(p *Pool) *Membership {
	return &Membership{
		pool: p,
	}
}

// Ping sends one ping to the peer listener at the address.
func (m *Membership) Ping(ctx context.Context, address string, p *member.Ping) (*member.Reply, error) {
	request, err := pingRequest(p)
	if err != nil {
		return nil, err
	}
	conn := m.pool.Conn(ctx, address)
	defer conn.Close() //nolint:errcheck // It returns to the pool.
	reply, err := peerpb.NewDRPCMembershipClient(conn).Ping(ctx, request)
	if err != nil {
		return nil, errors.Wrapf(err, "pinging %s", address)
	}

	return replyOf(reply)
}

// membership is the service that other VMs call.
type membership struct {
	handler pingHandler
}

// Ping implements the generated service.
func (m *membership) Ping(ctx context.Context, in *peerpb.PingRequest) (*peerpb.PingReply, error) {
	p, err := pingOf(in)
	if err != nil {
		return nil, err
	}
	r, err := m.handler.Handle(ctx, p)
	if err != nil {
		return nil, err
	}

	return pingReply(r)
}

func pingRequest(p *member.Ping) (*peerpb.PingRequest, error) {
	entry, err := entryMessage(p.Entry())
	if err != nil {
		return nil, err
	}

	return &peerpb.PingRequest{
		Vm:          string(p.From().ID()),
		Incarnation: uint64(p.From().Incarnation()),
		Address:     p.From().Address(),
		DataCentre:  p.From().DataCentre(),
		Epoch:       p.Epoch(),
		Leased:      p.Leased(),
		Resigned:    p.Resigned(),
		Suspects:    numbers(p.Suspects()),
		Banned:      numbers(p.Banned()),
		Entry:       entry,
	}, nil
}

func pingOf(m *peerpb.PingRequest) (*member.Ping, error) {
	entry, err := entryOf(m.GetEntry())
	if err != nil {
		return nil, err
	}

	return member.NewPing(member.PingSpec{
		From:     member.NewVM(member.ID(m.GetVm()), member.Incarnation(m.GetIncarnation()), m.GetAddress(), m.GetDataCentre()),
		Epoch:    m.GetEpoch(),
		Leased:   m.GetLeased(),
		Resigned: m.GetResigned(),
		Suspects: incarnations(m.GetSuspects()),
		Banned:   incarnations(m.GetBanned()),
		Entry:    entry,
	}), nil
}

func pingReply(r *member.Reply) (*peerpb.PingReply, error) {
	entry, err := entryMessage(r.Entry())
	if err != nil {
		return nil, err
	}

	return &peerpb.PingReply{
		Incarnation:  uint64(r.From()),
		Epoch:        r.Epoch(),
		Acknowledged: r.Acknowledged(),
		Refused:      r.Refused(),
		Tainted:      r.Tainted(),
		Resigned:     r.Resigned(),
		Promised:     numbers(r.Promised()),
		Banned:       numbers(r.Banned()),
		Entry:        entry,
	}, nil
}

func replyOf(m *peerpb.PingReply) (*member.Reply, error) {
	entry, err := entryOf(m.GetEntry())
	if err != nil {
		return nil, err
	}

	return member.NewReply(member.ReplySpec{
		From:         member.Incarnation(m.GetIncarnation()),
		Epoch:        m.GetEpoch(),
		Acknowledged: m.GetAcknowledged(),
		Refused:      m.GetRefused(),
		Tainted:      m.GetTainted(),
		Resigned:     m.GetResigned(),
		Promised:     incarnations(m.GetPromised()),
		Banned:       incarnations(m.GetBanned()),
		Entry:        entry,
	}), nil
}

func entryMessage(e *member.Entry) (*peerpb.MemberEntry, error) {
	if e == nil {
		return nil, nil //nolint:nilnil // An absent entry is no fault.
	}
	data, err := encoder.Epoch(e.Record())
	if err != nil {
		return nil, err
	}

	return &peerpb.MemberEntry{
		Offset: int64(e.Offset()),
		Record: data,
	}, nil
}

func entryOf(m *peerpb.MemberEntry) (*member.Entry, error) {
	if m == nil {
		return nil, nil //nolint:nilnil // An absent entry is no fault.
	}
	record, err := decoder.Epoch(m.GetRecord())
	if err != nil {
		return nil, errors.Wrap(err, "decoding the entry of an epoch")
	}

	return member.NewEntry(recorder.Offset(m.GetOffset()), record), nil
}

func numbers(list []member.Incarnation) []uint64 {
	out := make([]uint64, 0, len(list))
	for _, i := range list {
		out = append(out, uint64(i))
	}

	return out
}

func incarnations(list []uint64) []member.Incarnation {
	out := make([]member.Incarnation, 0, len(list))
	for _, i := range list {
		out = append(out, member.Incarnation(i))
	}

	return out
}
