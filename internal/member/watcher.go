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

// listPeriod is the time between two requests for the platform's list.
const listPeriod = time.Second

type vmLister interface {
	List(ctx context.Context) ([]lister.VM, error)
}

type clock interface {
	Now() timer.Instant
	Every(d time.Duration) *timer.Subscription
}

// Listing is one response of the platform's VM list.
type Listing struct {
	vms []lister.VM
	// requestedAt is the time just before the request was sent.
	requestedAt timer.Instant
}

// VMs returns the platform's VMs; the caller must not change the slice.
func (l *Listing) VMs() []lister.VM { return l.vms }

// RequestedAt returns the time just before the request was sent.
func (l *Listing) RequestedAt() timer.Instant { return l.requestedAt }

// OtherProxies returns the VMs that run lagoonkeel, except self, ordered by id.
// Their incarnations are unknown and set to 0.
func (l *Listing) OtherProxies(self ID) []VM {
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

// Watcher is the controller that polls the platform's list of VMs.
type Watcher struct {
	list   vmLister
	clock  clock
	logger *logger.Logger
	// listing is the last response; never nil.
	listing atomic.Pointer[Listing]
}

// NewWatcher returns a watcher that has no listing yet.
func NewWatcher(list vmLister, c clock, l *logger.Logger) *Watcher {
	w := &Watcher{
		list:   list,
		clock:  c,
		logger: l,
	}
	w.listing.Store(&Listing{})

	return w
}

// Name returns the controller's name in errors and logs.
func (w *Watcher) Name() string { return "vm-list" }

// Listing returns the last response; it is empty before the first.
func (w *Watcher) Listing() *Listing { return w.listing.Load() }

// PlatformVMs returns all VMs of the last listing; the caller must not change the
// slice.
func (w *Watcher) PlatformVMs() []lister.VM { return w.Listing().vms }

// Run polls the list until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.refresh(ctx)
	w.clock.Every(listPeriod).Each(ctx, func(timer.Instant) { w.refresh(ctx) })

	return nil
}

func (w *Watcher) refresh(ctx context.Context) {
	requestedAt := w.clock.Now()
	list, err := w.list.List(ctx)
	if err != nil {
		if ctx.Err() == nil {
			w.logger.Log(logger.ListUnavailable, logger.Failure(err))
		}

		return
	}
	w.listing.Store(&Listing{
		vms:         list,
		requestedAt: requestedAt,
	})
}
