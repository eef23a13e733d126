package quarantiner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// exchangePeriod is the time between two exchanges of a VM, each with one other.
	exchangePeriod = time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 500 * time.Millisecond
)

type exchangeClient interface {
	// Addresses returns those of every other VM.
	Addresses() []string
	// Exchange tells the VM at the address the digest of the own quarantine and the
	// snapshots, and returns those of that VM if its digest differs.
	Exchange(ctx context.Context, address string, d Digest, list []Snapshot) ([]Snapshot, error)
}

type ticker interface {
	Every(d time.Duration) *timer.Subscription
}

// Exchanger is the controller that compares the quarantine with that of another VM from
// time to time, as VMs may have missed marks or have started after them.
type Exchanger struct {
	quarantiner *Quarantiner
	client      exchangeClient
	ticker      ticker
}

// NewExchanger returns an exchanger for the quarantine.
func NewExchanger(q *Quarantiner, c exchangeClient, t ticker) *Exchanger {
	return &Exchanger{
		quarantiner: q,
		client:      c,
		ticker:      t,
	}
}

// Name returns the controller's name.
func (e *Exchanger) Name() string { return "quarantine" }

// Run makes exchanges until ctx ends.
func (e *Exchanger) Run(ctx context.Context) error {
	e.ticker.Every(exchangePeriod).Each(ctx, func(timer.Instant) { e.exchange(ctx) })

	return nil
}

// exchange compares the quarantine with that of a random VM and takes over what that one
// knows. A failed exchange is not repeated; the next one is made with another VM.
func (e *Exchanger) exchange(ctx context.Context) {
	addresses := e.client.Addresses()
	if len(addresses) == 0 {
		return
	}
	address := addresses[rand.IntN(len(addresses))] //nolint:gosec // Not a secret.
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	list, err := e.client.Exchange(ctx, address, e.quarantiner.Digest(), nil)
	if err != nil {
		return
	}
	if unknown := e.quarantiner.Merge(list); len(unknown) > 0 {
		_, _ = e.client.Exchange(ctx, address, e.quarantiner.Digest(), unknown) // A later exchange makes up for it.
	}
}

// Answer takes over the snapshots of another VM, and returns those of this one if the digest
// of the other one differs.
func (q *Quarantiner) Answer(d Digest, list []Snapshot) []Snapshot {
	q.Merge(list)
	if d == q.Digest() {
		return nil
	}

	return q.Snapshots()
}
