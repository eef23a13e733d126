package assembler

import (
	"context"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/gossiper"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// announceBackoff is the time between a failed announcement and the next attempt.
const announceBackoff = 500 * time.Millisecond

// vmTopic is the topic of the store that lists the VMs of the fleet.
type vmTopic interface {
	Put(ctx context.Context, key string, value []byte) error
}

// announcer is the controller that publishes this VM's address, id and data centre to the
// other VMs, once.
type announcer struct {
	topic   vmTopic
	address string
	id      string
	// dataCentre is that of this VM.
	dataCentre string
	// list reads the other VMs' addresses.
	list   refresher
	timers *timer.Service
	logger *logger.Logger
}

// refresher reads a topic again.
type refresher interface {
	Refresh()
}

// Name returns the controller's name.
func (a *announcer) Name() string { return "announcer" }

// Run publishes what the announcer has, and retries until that succeeds or ctx ends. It
// then lets the list of the VMs be read again, and returns nil.
func (a *announcer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := a.topic.Put(ctx, a.address, []byte(gossiper.Announcement(a.id, a.dataCentre)))
		if err == nil {
			a.list.Refresh() // Of two VMs that start at once, the later one finds the other.

			return nil
		}
		a.logger.Log(logger.AnnounceFailed, logger.Failure(err))
		a.timers.After(announceBackoff).Await(ctx)
	}

	return nil
}
