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

// ClaimClient is the client of the Claims service of other VMs. It is safe for
// concurrent use.
type ClaimClient struct {
	pool *Pool
}

// NewClaimClient returns a client that uses the pool's connections.
func NewClaimClient(p *Pool) *ClaimClient {
	return &ClaimClient{
		pool: p,
	}
}

func (cl *ClaimClient) client(ctx context.Context, to member.VM) peerpb.DRPCClaimsClient {
	return peerpb.NewDRPCClaimsClient(cl.pool.Conn(ctx, to.Address()))
}

// Claim asks the holder for its decision on a claim. A verdict that is not known to
// this VM counts as unavailable.
func (cl *ClaimClient) Claim(ctx context.Context, to member.VM, c claimer.Claim) (claimer.Decision, error) {
	reply, err := cl.client(ctx, to).Make(ctx, &peerpb.MakeClaimRequest{
		Claim: encodeClaim(c),
	})
	if err != nil {
		return claimer.Decision{}, errors.Wrap(err, "asking the holder for a claim")
	}
	v, ok := decodedVerdicts[reply.GetVerdict()]
	if !ok {
		v = claimer.VerdictUnavailable
	}

	return claimer.NewDecision(v, reply.GetDurable(), decodeAnswer(reply.GetAnswer())), nil
}

// Settle reports the outcome of a claim to the holder.
func (cl *ClaimClient) Settle(ctx context.Context, to member.VM, s claimer.Settlement) error {
	_, err := cl.client(ctx, to).Settle(ctx, encodeSettlement(s))

	return errors.Wrap(err, "reporting the outcome of a claim to the holder")
}

// Recall asks a peer for the claims of a range that it keeps in memory and that are
// at or after the offset in the log, were not seen in the log, or have an answer.
func (cl *ClaimClient) Recall(ctx context.Context, to member.VM, r member.Range, from recorder.Offset) ([]claimer.Settlement, error) {
	reply, err := cl.client(ctx, to).Recall(ctx, &peerpb.RecallRequest{
		Range: uint32(r),
		From:  int64(from),
	})
	if err != nil {
		return nil, errors.Wrap(err, "asking a peer for its claims")
	}
	list := make([]claimer.Settlement, 0, len(reply.GetSettlements()))
	for _, s := range reply.GetSettlements() {
		list = append(list, decodeSettlement(s))
	}

	return list, nil
}

// Remember asks a peer to keep in memory a claim that is not in the log.
func (cl *ClaimClient) Remember(ctx context.Context, to member.VM, c claimer.Claim) error {
	_, err := cl.client(ctx, to).Remember(ctx, encodeClaim(c))

	return errors.Wrap(err, "asking a peer to keep a claim")
}

// claimHolder decides on the claims of the ranges that this VM holds.
type claimHolder interface {
	Claim(ctx context.Context, c claimer.Claim) claimer.Decision
	Settle(s claimer.Settlement)
	Remember(c claimer.Claim)
}

// claimStore returns the claims of a range that this VM keeps in memory.
type claimStore interface {
	Recall(r member.Range, from recorder.Offset) ([]claimer.Settlement, error)
}

// claimServer is the Claims service that other VMs call.
type claimServer struct {
	holder claimHolder
	store  claimStore
}

// RegisterClaims registers the Claims service with the mux.
func RegisterClaims(mux drpc.Mux, h claimHolder, s claimStore) error {
	return errors.Wrap(peerpb.DRPCRegisterClaims(mux, &claimServer{
		holder: h,
		store:  s,
	}), "registering the claims service")
}

// Make implements peerpb.DRPCClaimsServer: it decides on a claim.
func (s *claimServer) Make(ctx context.Context, r *peerpb.MakeClaimRequest) (*peerpb.MakeClaimReply, error) {
	d := s.holder.Claim(ctx, decodeClaim(r.GetClaim()))

	return &peerpb.MakeClaimReply{
		Verdict: encodedVerdicts[d.Verdict()],
		Durable: d.Durable(),
		Answer:  encodeAnswer(d.Answer()),
	}, nil
}

// Settle implements peerpb.DRPCClaimsServer: it records the outcome of a claim.
func (s *claimServer) Settle(_ context.Context, r *peerpb.ClaimSettlement) (*peerpb.ClaimDone, error) {
	s.holder.Settle(decodeSettlement(r))

	return &peerpb.ClaimDone{}, nil
}

// Recall implements peerpb.DRPCClaimsServer: it returns the claims of a range that
// this VM keeps in memory. The number of the range is taken modulo member.RangeCount.
func (s *claimServer) Recall(_ context.Context, r *peerpb.RecallRequest) (*peerpb.RecallReply, error) {
	list, err := s.store.Recall(member.Range(r.GetRange()%member.RangeCount), recorder.Offset(r.GetFrom()))
	if err != nil {
		return nil, errors.Wrap(err, "recalling claims")
	}
	reply := &peerpb.RecallReply{}
	for _, c := range list {
		reply.Settlements = append(reply.Settlements, encodeSettlement(c))
	}

	return reply, nil
}

// Remember implements peerpb.DRPCClaimsServer: it keeps in memory a claim that is
// not in the log.
func (s *claimServer) Remember(_ context.Context, r *peerpb.ClaimRecord) (*peerpb.ClaimDone, error) {
	s.holder.Remember(decodeClaim(r))

	return &peerpb.ClaimDone{}, nil
}

// ClaimCodec encodes and decodes the records of the claims stream.
type ClaimCodec struct{}

// EncodeClaims returns the record of the batch.
func (ClaimCodec) EncodeClaims(b claimer.Batch) ([]byte, error) {
	data, err := proto.Marshal(&peerpb.ClaimBatch{
		Claims:   encodeClaimList(b.Claims()),
		Releases: encodeClaimList(b.Releases()),
	})

	return data, errors.Wrap(err, "encoding claims")
}

// DecodeClaims returns the batch in a record.
func (ClaimCodec) DecodeClaims(data []byte) (claimer.Batch, error) {
	var m peerpb.ClaimBatch
	if err := proto.Unmarshal(data, &m); err != nil {
		return claimer.Batch{}, errors.Wrap(err, "decoding claims")
	}

	return claimer.NewBatch(decodeClaimList(m.GetClaims()), decodeClaimList(m.GetReleases())), nil
}

var decodedVerdicts = map[peerpb.MakeClaimReply_Verdict]claimer.Verdict{
	peerpb.MakeClaimReply_UNAVAILABLE: claimer.VerdictUnavailable,
	peerpb.MakeClaimReply_NOT_HOLDER:  claimer.VerdictNotHolder,
	peerpb.MakeClaimReply_GRANTED:     claimer.VerdictGranted,
	peerpb.MakeClaimReply_SENT:        claimer.VerdictSent,
	peerpb.MakeClaimReply_ANSWERED:    claimer.VerdictAnswered,
	peerpb.MakeClaimReply_MISMATCH:    claimer.VerdictMismatch,
}

var encodedVerdicts = map[claimer.Verdict]peerpb.MakeClaimReply_Verdict{
	claimer.VerdictUnavailable: peerpb.MakeClaimReply_UNAVAILABLE,
	claimer.VerdictNotHolder:   peerpb.MakeClaimReply_NOT_HOLDER,
	claimer.VerdictGranted:     peerpb.MakeClaimReply_GRANTED,
	claimer.VerdictSent:        peerpb.MakeClaimReply_SENT,
	claimer.VerdictAnswered:    peerpb.MakeClaimReply_ANSWERED,
	claimer.VerdictMismatch:    peerpb.MakeClaimReply_MISMATCH,
}

func encodeClaim(c claimer.Claim) *peerpb.ClaimRecord {
	return &peerpb.ClaimRecord{
		Id:          string(c.ID()),
		Team:        c.Team(),
		Key:         c.Key(),
		Fingerprint: c.Fingerprint(),
		Sender:      string(c.Sender()),
		Incarnation: uint64(c.Incarnation()),
	}
}

func decodeClaim(m *peerpb.ClaimRecord) claimer.Claim {
	return claimer.NewClaim(claimer.Spec{
		ID:          claimer.ID(m.GetId()),
		Team:        m.GetTeam(),
		Key:         m.GetKey(),
		Fingerprint: m.GetFingerprint(),
		Sender:      member.ID(m.GetSender()),
		Incarnation: member.Incarnation(m.GetIncarnation()),
	})
}

func encodeClaimList(list []claimer.Claim) []*peerpb.ClaimRecord {
	out := make([]*peerpb.ClaimRecord, 0, len(list))
	for _, c := range list {
		out = append(out, encodeClaim(c))
	}

	return out
}

func decodeClaimList(list []*peerpb.ClaimRecord) []claimer.Claim {
	out := make([]claimer.Claim, 0, len(list))
	for _, m := range list {
		out = append(out, decodeClaim(m))
	}

	return out
}

func encodeSettlement(s claimer.Settlement) *peerpb.ClaimSettlement {
	return &peerpb.ClaimSettlement{
		Claim:    encodeClaim(s.Claim()),
		Released: s.Released(),
		Answer:   encodeAnswer(s.Answer()),
	}
}

func decodeSettlement(m *peerpb.ClaimSettlement) claimer.Settlement {
	if m.GetReleased() {
		return claimer.NewReleaseSettlement(decodeClaim(m.GetClaim()))
	}

	return claimer.NewAnswerSettlement(decodeClaim(m.GetClaim()), decodeAnswer(m.GetAnswer()))
}

func encodeAnswer(a *handler.Response) *peerpb.KeptAnswer {
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

func decodeAnswer(m *peerpb.KeptAnswer) *handler.Response {
	if m == nil {
		return nil
	}
	a := handler.NewResponse(int(m.GetStatus()), m.GetBody())
	for _, f := range m.GetFields() {
		a.Fields().Add(f.GetName(), f.GetValue())
	}

	return a
}
