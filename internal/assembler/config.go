package assembler

import (
	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/configurer"
	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/internal/encoder"
	"github.com/lagoonkeel/lagoonkeel/internal/follower"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/messenger"
	"github.com/lagoonkeel/lagoonkeel/internal/relayer"
	"github.com/lagoonkeel/lagoonkeel/internal/snapshotter"
	"github.com/lagoonkeel/lagoonkeel/internal/streamer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

func newFollower(s *configurer.Settings, t *timer.Service, l *logger.Logger) *follower.Follower {
	log := streamer.NewClient(s.LogURL())

	return follower.New(log, snapshotter.NewLoader(log, decoder.Chunk), decoder.Change, t, l)
}

// addConfiguration registers the service from which peers fetch this VM's
// configuration, and adds the controllers that fetch theirs and write snapshots.
func addConfiguration(v *VM) error {
	if err := messenger.RegisterConfiguration(v.server.Mux(), v.follower); err != nil {
		return errors.Wrap(err, "registering the configuration service")
	}
	log := streamer.NewClient(v.settings.LogURL())
	v.controllers = append(v.controllers,
		relayer.New(v.follower, messenger.NewConfigurationClient(v.pool), v.member, v.timers),
		snapshotter.New(log, encoder.Chunk, v.follower, v.member, v.timers, v.settings.Retention(), v.logger),
	)

	return nil
}
