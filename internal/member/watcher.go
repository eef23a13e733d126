package member

import (
	"context"
	"sort"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/lister"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// listPeriod is the time between two looks at the platform's list.
const listPeriod = time.Second

type vmLister interface {
	List(ctx context.Context) ([]lister.VM, error)
}

type ticker interface {
	Now() timer.Instant
	Every(d time.Duration) *timer.Subscription
}

// Listing is one answer of the platform's list.
type Listing struct {
	vms []lister.VM
	// asked is the instant before the list was asked for.
	asked timer.Instant
}

// VMs returns the platform's VMs; the caller must not change the slice.
func (l *Listing) VMs() []lister.VM { return l.vms }

// Asked returns the instant before the list was asked for.
func (l *Listing) Asked() timer.Instant { return l.asked }

// Entries returns the VMs that run lagoonkeel, but for the one named, ordered
// by id. Their incarnations are unknown.
func (l *Listing) Entries(self ID) []VM {
	var out []VM
	for _, v := range l.vms {
		if v.Role() == lister.RoleEntry && ID(v.ID()) != self {
			out = append(out, NewVM(ID(v.ID()), 0, v.Address(), v.DataCentre()))
		}
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].ID() < out[j].ID()
	})

	return out
}

// Watcher is the controller that follows the platform's list of VMs.
type Watcher struct {
	list   vmLister
	timers ticker
	logger *logger.Logger
	// listing is the last answer; never nil.
	listing atomic.Pointer[Listing]
}

// NewWatcher returns a watcher of the list.
func NewWatcher(list vmLister, timers ticker, l *logger.Logger) *Watcher {
	w := &Watcher{
		list:   list,
		timers: timers,
		logger: l,
	}
	w.listing.Store(&Listing{})

	return w
}

// Name returns the controller's name.
func (w *Watcher) Name() string { return "vm-list" }

// Listing returns the last answer, empty before the first.
func (w *Watcher) Listing() *Listing { return w.listing.Load() }

// Platform returns the platform's last list; the caller must not change it.
func (w *Watcher) Platform() []lister.VM { return w.Listing().vms }

// Run follows the list until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.refresh(ctx)
	w.timers.Every(listPeriod).Each(ctx, func(timer.Instant) { w.refresh(ctx) })

	return nil
}

func (w *Watcher) refresh(ctx context.Context) {
	asked := w.timers.Now()
	list, err := w.list.List(ctx)
	if err != nil {
		if ctx.Err() == nil {
			w.logger.Log(logger.ListUnavailable, logger.Failure(err))
		}

		return
	}
	w.listing.Store(&Listing{
		vms:   list,
		asked: asked,
	})
}
