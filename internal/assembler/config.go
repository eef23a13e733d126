package assembler

import (
	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/configurer"
	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/internal/encoder"
	"github.com/lagoonkeel/lagoonkeel/internal/follower"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/messenger"
	"github.com/lagoonkeel/lagoonkeel/internal/relayer"
	"github.com/lagoonkeel/lagoonkeel/internal/snapshotter"
	"github.com/lagoonkeel/lagoonkeel/internal/streamer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// configuration holds the controllers of the configuration.
type configuration struct {
	follower    *follower.Follower
	relayer     *relayer.Relayer
	snapshotter *snapshotter.Snapshotter
}

func newFollower(s *configurer.Settings, t *timer.Service, l *logger.Logger) *follower.Follower {
	log := streamer.NewClient(s.LogBase())

	return follower.New(log, snapshotter.NewLoader(log, decoder.Chunk), decoder.Change, t, l)
}

// newConfiguration joins the follower with the peers and the snapshots.
func newConfiguration(v *VM) (*configuration, error) {
	self := member.ID(v.settings.ID())
	if err := messenger.RegisterConfiguration(v.server.Mux(), self, v.follower); err != nil {
		return nil, errors.Wrap(err, "building the configuration")
	}
	log := streamer.NewClient(v.settings.LogBase())

	return &configuration{
		follower:    v.follower,
		relayer:     relayer.New(v.follower, messenger.NewConfiguration(self, v.pool), v.watcher, v.timers),
		snapshotter: snapshotter.New(log, encoder.Chunk, v.follower, v.watcher, v.timers, v.settings.LogRetention(), v.logger),
	}, nil
}
