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

// configState is this VM's copy of the configuration.
type configState interface {
	Position() follower.Position
	Records(from recorder.Offset) ([]recorder.Record, bool)
	State() (*manifester.Manifest, recorder.Offset)
}

// configServer is the Configuration service that other VMs call.
type configServer struct {
	state configState
}

// RegisterConfiguration registers the Configuration service, which serves the state,
// with the mux.
func RegisterConfiguration(mux drpc.Mux, state configState) error {
	return errors.Wrap(peerpb.DRPCRegisterConfiguration(mux, &configServer{
		state: state,
	}), "registering the configuration service")
}

// Position implements peerpb.DRPCConfigurationServer: it returns how far this VM has
// followed the configuration stream.
func (s *configServer) Position(context.Context, *peerpb.ConfigPositionRequest) (*peerpb.ConfigPosition, error) {
	return encodePosition(s.state.Position()), nil
}

// Records implements peerpb.DRPCConfigurationServer: it returns the records from an
// offset on, or an expired reply if this VM no longer keeps the record at the offset.
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

// Snapshot implements peerpb.DRPCConfigurationServer: it streams the whole manifest
// in chunks.
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

// ConfigurationClient is the client of the Configuration service of other VMs. It is
// safe for concurrent use.
type ConfigurationClient struct {
	pool *Pool
}

// NewConfigurationClient returns a client that uses the pool's connections.
func NewConfigurationClient(p *Pool) *ConfigurationClient {
	return &ConfigurationClient{
		pool: p,
	}
}

func (c *ConfigurationClient) client(ctx context.Context, address string) peerpb.DRPCConfigurationClient {
	return peerpb.NewDRPCConfigurationClient(c.pool.Conn(ctx, address))
}

// Position returns how far the peer has followed the configuration stream.
func (c *ConfigurationClient) Position(ctx context.Context, address string) (follower.Position, error) {
	reply, err := c.client(ctx, address).Position(ctx, &peerpb.ConfigPositionRequest{})
	if err != nil {
		return follower.Position{}, errors.Wrap(err, "asking a peer for its position")
	}

	return follower.NewPosition(recorder.Offset(reply.GetNext()), reply.GetKnown(), time.Duration(reply.GetAgeMs())*time.Millisecond, reply.GetReady()), nil
}

// Records returns the peer's records from the offset on, or false if the peer no
// longer keeps the record at the offset.
func (c *ConfigurationClient) Records(ctx context.Context, address string, from recorder.Offset) ([]recorder.Record, bool, error) {
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
func (c *ConfigurationClient) Snapshot(ctx context.Context, address string) (*manifester.Manifest, recorder.Offset, error) {
	stream, err := c.client(ctx, address).Snapshot(ctx, &peerpb.ConfigSnapshotRequest{})
	if err != nil {
		return nil, 0, errors.Wrap(err, "asking a peer for a snapshot")
	}
	defer stream.Close() //nolint:errcheck // The result no longer depends on the stream.
	var collector snapshotter.Collector
	for {
		message, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return collector.Manifest()
		}
		if err != nil {
			return nil, 0, errors.Wrap(err, "receiving a snapshot from a peer")
		}
		chunk, err := decoder.Chunk(message.GetData())
		if err != nil {
			return nil, 0, err
		}
		collector.Add(chunk)
	}
}

// encodePosition encodes the position. The age is raised to the next whole
// millisecond, so that it is never understated.
func encodePosition(p follower.Position) *peerpb.ConfigPosition {
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
