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

// RegisterMembership registers the Membership service, which passes pings to the
// handler, with the server.
func (s *Server) RegisterMembership(h pingHandler) error {
	return errors.Wrap(peerpb.DRPCRegisterMembership(s.mux, &membershipServer{
		handler: h,
	}), "registering the membership service")
}

// MembershipClient is the client of the Membership service of other VMs. It is safe
// for concurrent use.
type MembershipClient struct {
	pool *Pool
}

// NewMembershipClient returns a client that uses the pool's connections.
func NewMembershipClient(p *Pool) *MembershipClient {
	return &MembershipClient{
		pool: p,
	}
}

// Ping sends a ping to the peer listener at the address and returns its reply.
func (c *MembershipClient) Ping(ctx context.Context, address string, p *member.Ping) (*member.Reply, error) {
	request, err := encodePing(p)
	if err != nil {
		return nil, err
	}
	conn := c.pool.Conn(ctx, address)
	defer conn.Close() //nolint:errcheck // Closing a pooled connection returns no error.
	reply, err := peerpb.NewDRPCMembershipClient(conn).Ping(ctx, request)
	if err != nil {
		return nil, errors.Wrapf(err, "pinging %s", address)
	}

	return decodePingReply(reply)
}

// membershipServer is the Membership service that other VMs call.
type membershipServer struct {
	handler pingHandler
}

// Ping implements peerpb.DRPCMembershipServer.
func (m *membershipServer) Ping(ctx context.Context, in *peerpb.PingRequest) (*peerpb.PingReply, error) {
	p, err := decodePing(in)
	if err != nil {
		return nil, err
	}
	r, err := m.handler.Handle(ctx, p)
	if err != nil {
		return nil, err
	}

	return encodePingReply(r)
}

func encodePing(p *member.Ping) (*peerpb.PingRequest, error) {
	entry, err := encodeEntry(p.Entry())
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
		Suspects:    encodeIncarnations(p.Suspects()),
		Banned:      encodeIncarnations(p.Banned()),
		Entry:       entry,
	}, nil
}

func decodePing(m *peerpb.PingRequest) (*member.Ping, error) {
	entry, err := decodeEntry(m.GetEntry())
	if err != nil {
		return nil, err
	}

	return member.NewPing(member.PingSpec{
		From:     member.NewVM(member.ID(m.GetVm()), member.Incarnation(m.GetIncarnation()), m.GetAddress(), m.GetDataCentre()),
		Epoch:    m.GetEpoch(),
		Leased:   m.GetLeased(),
		Resigned: m.GetResigned(),
		Suspects: decodeIncarnations(m.GetSuspects()),
		Banned:   decodeIncarnations(m.GetBanned()),
		Entry:    entry,
	}), nil
}

func encodePingReply(r *member.Reply) (*peerpb.PingReply, error) {
	entry, err := encodeEntry(r.Entry())
	if err != nil {
		return nil, err
	}

	return &peerpb.PingReply{
		Incarnation:  uint64(r.From()),
		Epoch:        r.Epoch(),
		Acknowledged: r.Acknowledged(),
		Refused:      r.Refused(),
		Tainted:      r.BannedBefore(),
		Resigned:     r.Resigned(),
		Promised:     encodeIncarnations(r.Promised()),
		Banned:       encodeIncarnations(r.Banned()),
		Entry:        entry,
	}, nil
}

func decodePingReply(m *peerpb.PingReply) (*member.Reply, error) {
	entry, err := decodeEntry(m.GetEntry())
	if err != nil {
		return nil, err
	}

	return member.NewReply(member.ReplySpec{
		From:         member.Incarnation(m.GetIncarnation()),
		Epoch:        m.GetEpoch(),
		Acknowledged: m.GetAcknowledged(),
		Refused:      m.GetRefused(),
		BannedBefore: m.GetTainted(),
		Resigned:     m.GetResigned(),
		Promised:     decodeIncarnations(m.GetPromised()),
		Banned:       decodeIncarnations(m.GetBanned()),
		Entry:        entry,
	}), nil
}

func encodeEntry(e *member.Entry) (*peerpb.MemberEntry, error) {
	if e == nil {
		return nil, nil //nolint:nilnil // The entry is optional.
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

func decodeEntry(m *peerpb.MemberEntry) (*member.Entry, error) {
	if m == nil {
		return nil, nil //nolint:nilnil // The entry is optional.
	}
	record, err := decoder.Epoch(m.GetRecord())
	if err != nil {
		return nil, errors.Wrap(err, "decoding the entry of an epoch")
	}

	return member.NewEntry(recorder.Offset(m.GetOffset()), record), nil
}

func encodeIncarnations(list []member.Incarnation) []uint64 {
	out := make([]uint64, 0, len(list))
	for _, i := range list {
		out = append(out, uint64(i))
	}

	return out
}

func decodeIncarnations(list []uint64) []member.Incarnation {
	out := make([]member.Incarnation, 0, len(list))
	for _, i := range list {
		out = append(out, member.Incarnation(i))
	}

	return out
}
