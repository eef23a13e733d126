package assembler

import (
	"context"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/gossiper"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// announceBackoff is the time between a failed announcement and the next attempt.
	announceBackoff = 500 * time.Millisecond
	// listedTimeout is the time after an announcement within which the list has to hold it.
	listedTimeout = 5 * time.Second
)

// vmTopic is the topic of the store that lists the VMs of the fleet.
type vmTopic interface {
	Put(ctx context.Context, key string, value []byte) error
}

// announcer is the controller that publishes this VM's address, id and data centre to the
// other VMs, once and whenever the store has lost them.
type announcer struct {
	topic   vmTopic
	address string
	id      string
	// dataCentre is that of this VM.
	dataCentre string
	// list reads the other VMs' addresses.
	list   refresher
	fleet  vmList
	timers *timer.Service
	logger *logger.Logger
}

// refresher reads a topic again.
type refresher interface {
	Refresh()
}

// vmList is the list of the VMs as this VM has read it.
type vmList interface {
	// ListRead reports whether the list holds this VM.
	ListRead() bool
	// Unlisted delivers a load of the list that lacks this VM.
	Unlisted() <-chan struct{}
}

// Name returns the controller's name.
func (a *announcer) Name() string { return "announcer" }

// Run publishes what the announcer has, at its start and whenever the list lacks it, until ctx
// ends.
func (a *announcer) Run(ctx context.Context) error {
	for a.announce(ctx); a.awaitUnlisted(ctx); a.announce(ctx) {
		a.logger.Log(logger.AnnouncedAgain)
	}

	return nil
}

// awaitUnlisted waits until the list lacks this VM, and returns false if ctx ended before.
func (a *announcer) awaitUnlisted(ctx context.Context) bool {
	t := a.timers.After(listedTimeout)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-a.fleet.Unlisted():
			return true
		case <-t.Due():
			if !a.fleet.ListRead() { // The announcement was lost before the list was first read.
				return true
			}
		}
	}
}

// announce publishes what the announcer has, and retries until that succeeds or ctx ends. It
// then lets the list of the VMs be read again.
func (a *announcer) announce(ctx context.Context) {
	for ctx.Err() == nil {
		err := a.topic.Put(ctx, a.address, []byte(gossiper.Announcement(a.id, a.dataCentre)))
		if err == nil {
			a.list.Refresh() // Of two VMs that start at once, the later one finds the other.

			return
		}
		a.logger.Log(logger.AnnounceFailed, logger.Failure(err))
		a.timers.After(announceBackoff).Await(ctx)
	}
}
