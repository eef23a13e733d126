package messenger

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/lagoonkeel/lagoonkeel/internal/claimer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/peerpb"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
)

// ClaimPeers carries the calls about claims to other VMs. It is safe for
// concurrent use.
type ClaimPeers struct {
	pool *Pool
}

// NewClaimPeers returns the caller's side on the pool.
func NewClaimPeers(p *Pool) *ClaimPeers {
	return &ClaimPeers{
		pool: p,
	}
}

func (p *ClaimPeers) client(ctx context.Context, to member.VM) peerpb.DRPCClaimsClient {
	return peerpb.NewDRPCClaimsClient(p.pool.Conn(ctx, to.Address()))
}

// Claim asks the holder to decide about a claim.
func (p *ClaimPeers) Claim(ctx context.Context, to member.VM, c claimer.Claim) (claimer.Decision, error) {
	reply, err := p.client(ctx, to).Make(ctx, &peerpb.MakeClaimRequest{
		Claim: fromClaim(c),
	})
	if err != nil {
		return claimer.Decision{}, errors.Wrap(err, "asking the holder for a claim")
	}
	v, ok := toVerdict[reply.GetVerdict()]
	if !ok {
		v = claimer.VerdictUnavailable
	}

	return claimer.NewDecision(v, reply.GetDurable(), toAnswer(reply.GetAnswer())), nil
}

// Settle tells the holder what became of a claim.
func (p *ClaimPeers) Settle(ctx context.Context, to member.VM, s claimer.Settlement) error {
	_, err := p.client(ctx, to).Settle(ctx, fromSettlement(s))

	return errors.Wrap(err, "settling a claim")
}

// Recall asks a member for what it remembers of a range.
func (p *ClaimPeers) Recall(ctx context.Context, to member.VM, r member.Range, from recorder.Offset) ([]claimer.Settlement, error) {
	reply, err := p.client(ctx, to).Recall(ctx, &peerpb.RecallRequest{
		Range: uint32(r),
		From:  int64(from),
	})
	if err != nil {
		return nil, errors.Wrap(err, "asking a member for its claims")
	}
	list := make([]claimer.Settlement, 0, len(reply.GetSettlements()))
	for _, s := range reply.GetSettlements() {
		list = append(list, toSettlement(s))
	}

	return list, nil
}

// Remember asks a member to remember a claim that is not in the log.
func (p *ClaimPeers) Remember(ctx context.Context, to member.VM, c claimer.Claim) error {
	_, err := p.client(ctx, to).Remember(ctx, fromClaim(c))

	return errors.Wrap(err, "having a member remember a claim")
}

// claimHolder decides about the claims of the ranges that this VM holds.
type claimHolder interface {
	Claim(ctx context.Context, c claimer.Claim) claimer.Decision
	Settle(s claimer.Settlement)
	Remember(c claimer.Claim)
}

// claimMemory tells what this VM remembers of a range.
type claimMemory interface {
	Recall(r member.Range, from recorder.Offset) ([]claimer.Settlement, error)
}

// ClaimServer answers the calls of other VMs about claims.
type ClaimServer struct {
	holder claimHolder
	memory claimMemory
}

// RegisterClaims registers the answers to calls about claims with the mux.
func RegisterClaims(mux drpc.Mux, h claimHolder, m claimMemory) error {
	return errors.Wrap(peerpb.DRPCRegisterClaims(mux, &ClaimServer{
		holder: h,
		memory: m,
	}), "registering claims")
}

// Make decides about a claim.
func (s *ClaimServer) Make(ctx context.Context, r *peerpb.MakeClaimRequest) (*peerpb.MakeClaimReply, error) {
	d := s.holder.Claim(ctx, toClaim(r.GetClaim()))

	return &peerpb.MakeClaimReply{
		Verdict: fromVerdict[d.Verdict()],
		Durable: d.Durable(),
		Answer:  fromAnswer(d.Answer()),
	}, nil
}

// Settle remembers what became of a claim.
func (s *ClaimServer) Settle(_ context.Context, r *peerpb.ClaimSettlement) (*peerpb.ClaimDone, error) {
	s.holder.Settle(toSettlement(r))

	return &peerpb.ClaimDone{}, nil
}

// Recall returns what this VM remembers of a range.
func (s *ClaimServer) Recall(_ context.Context, r *peerpb.RecallRequest) (*peerpb.RecallReply, error) {
	list, err := s.memory.Recall(member.Range(r.GetRange()%member.RangeCount), recorder.Offset(r.GetFrom()))
	if err != nil {
		return nil, errors.Wrap(err, "recalling claims")
	}
	reply := &peerpb.RecallReply{}
	for _, c := range list {
		reply.Settlements = append(reply.Settlements, fromSettlement(c))
	}

	return reply, nil
}

// Remember remembers a claim that is not in the log.
func (s *ClaimServer) Remember(_ context.Context, r *peerpb.ClaimRecord) (*peerpb.ClaimDone, error) {
	s.holder.Remember(toClaim(r))

	return &peerpb.ClaimDone{}, nil
}

// ClaimCodec encodes the records of the claims stream.
type ClaimCodec struct{}

// EncodeClaims returns the bytes of a record.
func (ClaimCodec) EncodeClaims(b claimer.Batch) ([]byte, error) {
	data, err := proto.Marshal(&peerpb.ClaimBatch{
		Claims:   fromClaims(b.Claims()),
		Releases: fromClaims(b.Releases()),
	})

	return data, errors.Wrap(err, "encoding claims")
}

// DecodeClaims reads the bytes of a record.
func (ClaimCodec) DecodeClaims(data []byte) (claimer.Batch, error) {
	var m peerpb.ClaimBatch
	if err := proto.Unmarshal(data, &m); err != nil {
		return claimer.Batch{}, errors.Wrap(err, "decoding claims")
	}

	return claimer.NewBatch(toClaims(m.GetClaims()), toClaims(m.GetReleases())), nil
}

var toVerdict = map[peerpb.MakeClaimReply_Verdict]claimer.Verdict{
	peerpb.MakeClaimReply_UNAVAILABLE: claimer.VerdictUnavailable,
	peerpb.MakeClaimReply_NOT_HOLDER:  claimer.VerdictNotHolder,
	peerpb.MakeClaimReply_GRANTED:     claimer.VerdictGranted,
	peerpb.MakeClaimReply_SENT:        claimer.VerdictSent,
	peerpb.MakeClaimReply_ANSWERED:    claimer.VerdictAnswered,
	peerpb.MakeClaimReply_MISMATCH:    claimer.VerdictMismatch,
}

var fromVerdict = map[claimer.Verdict]peerpb.MakeClaimReply_Verdict{
	claimer.VerdictUnavailable: peerpb.MakeClaimReply_UNAVAILABLE,
	claimer.VerdictNotHolder:   peerpb.MakeClaimReply_NOT_HOLDER,
	claimer.VerdictGranted:     peerpb.MakeClaimReply_GRANTED,
	claimer.VerdictSent:        peerpb.MakeClaimReply_SENT,
	claimer.VerdictAnswered:    peerpb.MakeClaimReply_ANSWERED,
	claimer.VerdictMismatch:    peerpb.MakeClaimReply_MISMATCH,
}

func fromClaim(c claimer.Claim) *peerpb.ClaimRecord {
	return &peerpb.ClaimRecord{
		Id:          string(c.ID()),
		Team:        c.Team(),
		Key:         c.Key(),
		Fingerprint: c.Fingerprint(),
		Sender:      string(c.Sender()),
		Incarnation: uint64(c.Incarnation()),
	}
}

func toClaim(m *peerpb.ClaimRecord) claimer.Claim {
	return claimer.NewClaim(claimer.Spec{
		ID:          claimer.ID(m.GetId()),
		Team:        m.GetTeam(),
		Key:         m.GetKey(),
		Fingerprint: m.GetFingerprint(),
		Sender:      member.ID(m.GetSender()),
		Incarnation: member.Incarnation(m.GetIncarnation()),
	})
}

func fromClaims(list []claimer.Claim) []*peerpb.ClaimRecord {
	out := make([]*peerpb.ClaimRecord, 0, len(list))
	for _, c := range list {
		out = append(out, fromClaim(c))
	}

	return out
}

func toClaims(list []*peerpb.ClaimRecord) []claimer.Claim {
	out := make([]claimer.Claim, 0, len(list))
	for _, m := range list {
		out = append(out, toClaim(m))
	}

	return out
}

func fromSettlement(s claimer.Settlement) *peerpb.ClaimSettlement {
	return &peerpb.ClaimSettlement{
		Claim:    fromClaim(s.Claim()),
		Released: s.Released(),
		Answer:   fromAnswer(s.Answer()),
	}
}

func toSettlement(m *peerpb.ClaimSettlement) claimer.Settlement {
	if m.GetReleased() {
		return claimer.NewRelease(toClaim(m.GetClaim()))
	}

	return claimer.NewAnswer(toClaim(m.GetClaim()), toAnswer(m.GetAnswer()))
}

func fromAnswer(a *handler.Response) *peerpb.KeptAnswer {
	if a == nil {
		return nil
	}
	m := &peerpb.KeptAnswer{
		Status: int32(a.Status()), //nolint:gosec // An HTTP status.
		Body:   a.Body(),
	}
	for _, f := range a.Fields().All() {
		m.Fields = append(m.Fields, &peerpb.KeptAnswer_Field{
			Name:  f.Name(),
			Value: f.Value(),
		})
	}

	return m
}

func toAnswer(m *peerpb.KeptAnswer) *handler.Response {
	if m == nil {
		return nil
	}
	a := handler.NewResponse(int(m.GetStatus()), m.GetBody())
	for _, f := range m.GetFields() {
		a.Fields().Add(f.GetName(), f.GetValue())
	}

	return a
}
