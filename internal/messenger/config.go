package messenger

import (
	"context"
	"crypto/rand"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/internal/encoder"
	"github.com/lagoonkeel/lagoonkeel/internal/follower"
	"github.com/lagoonkeel/lagoonkeel/internal/peerpb"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/snapshotter"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// configState is what peers are told about the configuration.
type configState interface {
	Position() follower.Position
	Records(from recorder.Offset) ([]recorder.Record, bool)
	State() (*manifester.Manifest, recorder.Offset)
}

// configServer answers the questions of peers about the configuration.
type configServer struct {
	state configState
}

// RegisterConfiguration answers peers from the state.
func RegisterConfiguration(mux drpc.Mux, state configState) error {
	return errors.Wrap(peerpb.DRPCRegisterConfiguration(mux, &configServer{
		state: state,
	}), "registering the configuration service")
}

// Position answers with this VM's position.
func (s *configServer) Position(context.Context, *peerpb.ConfigPositionRequest) (*peerpb.ConfigPosition, error) {
	return positionMessage(s.state.Position()), nil
}

// Records answers with the records from an offset on.
func (s *configServer) Records(_ context.Context, in *peerpb.ConfigRecordsRequest) (*peerpb.ConfigRecordsReply, error) {
	records, kept := s.state.Records(recorder.Offset(in.GetFrom()))
	out := &peerpb.ConfigRecordsReply{
		Expired: !kept,
	}
	for _, r := range records {
		out.Records = append(out.Records, &peerpb.ConfigRecord{
			Offset: int64(r.Offset()),
			Data:   r.Data(),
		})
	}

	return out, nil
}

// Snapshot sends the whole state.
func (s *configServer) Snapshot(_ *peerpb.ConfigSnapshotRequest, stream peerpb.DRPCConfiguration_SnapshotStream) error {
	m, next := s.state.State()
	for _, c := range snapshotter.Split(snapshotter.ID(rand.Text()), m, next) {
		data, err := encoder.Chunk(c)
		if err != nil {
			return err
		}
		if err := stream.Send(&peerpb.ConfigChunk{Data: data}); err != nil {
			return errors.Wrap(err, "sending a snapshot to a peer")
		}
	}

	return nil
}

// Configuration asks peers about the configuration. It is safe for concurrent
// use.
type Configuration struct {
	pool *Pool
}

// NewConfiguration returns the client side of the configuration service.
func NewConfiguration(p *Pool) *Configuration {
	return &Configuration{
		pool: p,
	}
}

func (c *Configuration) client(ctx context.Context, address string) peerpb.DRPCConfigurationClient {
	return peerpb.NewDRPCConfigurationClient(c.pool.Conn(ctx, address))
}

// Position returns the peer's position.
func (c *Configuration) Position(ctx context.Context, address string) (follower.Position, error) {
	reply, err := c.client(ctx, address).Position(ctx, &peerpb.ConfigPositionRequest{})
	if err != nil {
		return follower.Position{}, errors.Wrap(err, "asking a peer for its position")
	}

	return follower.NewPosition(recorder.Offset(reply.GetNext()), reply.GetKnown(), time.Duration(reply.GetAgeMs())*time.Millisecond, reply.GetReady()), nil
}

// Records returns the peer's records from the offset on, or false where it
// keeps them no more.
func (c *Configuration) Records(ctx context.Context, address string, from recorder.Offset) ([]recorder.Record, bool, error) {
	reply, err := c.client(ctx, address).Records(ctx, &peerpb.ConfigRecordsRequest{From: int64(from)})
	if err != nil {
		return nil, false, errors.Wrap(err, "asking a peer for records")
	}
	records := make([]recorder.Record, 0, len(reply.GetRecords()))
	for _, r := range reply.GetRecords() {
		records = append(records, recorder.NewRecord(recorder.Offset(r.GetOffset()), r.GetData()))
	}

	return records, !reply.GetExpired(), nil
}

// Snapshot returns the peer's manifest and the offset of the next record.
func (c *Configuration) Snapshot(ctx context.Context, address string) (*manifester.Manifest, recorder.Offset, error) {
	stream, err := c.client(ctx, address).Snapshot(ctx, &peerpb.ConfigSnapshotRequest{})
	if err != nil {
		return nil, 0, errors.Wrap(err, "asking a peer for its state")
	}
	defer stream.Close() //nolint:errcheck // The stream was read to its end.
	var collector snapshotter.Collector
	for {
		message, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return collector.Manifest()
		}
		if err != nil {
			return nil, 0, errors.Wrap(err, "receiving a peer's state")
		}
		chunk, err := decoder.Chunk(message.GetData())
		if err != nil {
			return nil, 0, err
		}
		collector.Add(chunk)
	}
}

// positionMessage rounds the age up, so that it is never understated.
func positionMessage(p follower.Position) *peerpb.ConfigPosition {
	m := &peerpb.ConfigPosition{
		Next:  int64(p.Next()),
		Known: p.Known(),
		Ready: p.Ready(),
	}
	if p.Known() {
		m.AgeMs = p.Age().Milliseconds() + 1
	}

	return m
}
