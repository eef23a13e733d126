package retrier

import (
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// retryCost is the price of one retry in units of the budget.
	retryCost = 1000
	// requestIncome is what each caller's request adds: a tenth of a retry.
	requestIncome = 100
	// maxBudget bounds what is saved: 10 retries.
	maxBudget = 10 * retryCost
	// floorPeriod is the time in which one retry is earned without requests.
	floorPeriod = time.Second
)

// Budget bounds retries to a share of recent requests plus a small floor. It
// is safe for concurrent use and takes no lock.
type Budget struct {
	// units is at most maxBudget.
	units atomic.Int64
	// earned is the instant up to which the floor was paid.
	earned atomic.Int64
}

// NewBudget returns a budget that allows a few retries.
func NewBudget(now timer.Instant) *Budget {
	b := &Budget{}
	b.units.Store(maxBudget / 2)
	b.earned.Store(int64(now))

	return b
}

// Deposit counts one request.
func (b *Budget) Deposit() {
	b.add(requestIncome)
}

// Refund gives back a retry that was paid for and not made.
func (b *Budget) Refund() {
	b.add(retryCost)
}

// Withdraw pays for one retry and reports whether there was enough.
func (b *Budget) Withdraw(now timer.Instant) bool {
	b.payFloor(now)
	for {
		u := b.units.Load()
		if u < retryCost {
			return false
		}
		if b.units.CompareAndSwap(u, u-retryCost) {
			return true
		}
	}
}

// payFloor adds one retry for each period since the last payment.
func (b *Budget) payFloor(now timer.Instant) {
	last := b.earned.Load()
	periods := int64(now.Sub(timer.Instant(last)) / floorPeriod)
	if periods <= 0 {
		return
	}
	if b.earned.CompareAndSwap(last, last+periods*int64(floorPeriod)) {
		b.add(min(periods, maxBudget/retryCost) * retryCost)
	}
}

func (b *Budget) add(units int64) {
	for {
		u := b.units.Load()
		if b.units.CompareAndSwap(u, min(maxBudget, u+units)) {
			return
		}
	}
}
