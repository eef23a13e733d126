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
	Every(d time.Duration) *timer.Subscription
}

// Watcher is the controller that follows the platform's list of VMs.
type Watcher struct {
	self   VM
	list   vmLister
	timers ticker
	logger *logger.Logger
	// view is swapped on each new list; never nil.
	view atomic.Pointer[View]
	// platform is the last list; never nil.
	platform atomic.Pointer[[]lister.VM]
}

// NewWatcher returns a watcher for the VM self.
func NewWatcher(self VM, list vmLister, timers ticker, l *logger.Logger) *Watcher {
	w := &Watcher{
		self:   self,
		list:   list,
		timers: timers,
		logger: l,
	}
	w.view.Store(NewView(self, nil))
	w.platform.Store(&[]lister.VM{})

	return w
}

// Name returns the controller's name.
func (w *Watcher) Name() string { return "vm-list" }

// View returns the present view.
func (w *Watcher) View() *View { return w.view.Load() }

// Platform returns the platform's last list; the caller must not change it.
func (w *Watcher) Platform() []lister.VM { return *w.platform.Load() }

// Run follows the list until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	tick := w.timers.Every(listPeriod)
	defer tick.Stop()
	for {
		w.refresh(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.Due():
		}
	}
}

func (w *Watcher) refresh(ctx context.Context) {
	list, err := w.list.List(ctx)
	if err != nil {
		if ctx.Err() == nil {
			w.logger.Log(logger.ListUnavailable, logger.Failure(err))
		}

		return
	}
	w.platform.Store(&list)
	w.view.Store(NewView(w.self, w.peers(list)))
}

func (w *Watcher) peers(list []lister.VM) []VM {
	var peers []VM
	for _, v := range list {
		if v.Role() == lister.RoleEntry && ID(v.ID()) != w.self.ID() {
			peers = append(peers, NewVM(ID(v.ID()), 0, v.Address(), v.DataCentre()))
		}
	}
	sort.Slice(peers, func(i, j int) bool {
		return peers[i].ID() < peers[j].ID()
	})

	return peers
}
