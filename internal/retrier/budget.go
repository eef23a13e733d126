package retrier

import (
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// retryCost is the cost of one retry in units of the budget.
	retryCost = 1000
	// requestDeposit is the number of units that each caller's request adds: a
	// tenth of a retry.
	requestDeposit = 100
	// maxBudget is the largest balance: 10 retries.
	maxBudget = 10 * retryCost
	// refillPeriod is the time after which one retry is added independently of
	// requests.
	refillPeriod = time.Second
)

// Budget bounds retries to a share of recent requests plus a small minimum rate.
// It is safe for concurrent use and takes no lock.
type Budget struct {
	// units is the balance; at most maxBudget.
	units atomic.Int64
	// lastRefill is the instant up to which the minimum rate was credited.
	lastRefill atomic.Int64
}

// NewBudget returns a budget that is half full.
func NewBudget(now timer.Instant) *Budget {
	b := &Budget{}
	b.units.Store(maxBudget / 2)
	b.lastRefill.Store(int64(now))

	return b
}

// Deposit credits the share of one request.
func (b *Budget) Deposit() {
	b.add(requestDeposit)
}

// Refund returns a retry that was withdrawn and not made.
func (b *Budget) Refund() {
	b.add(retryCost)
}

// Withdraw takes the cost of one retry from the balance and reports whether it
// was sufficient.
func (b *Budget) Withdraw(now timer.Instant) bool {
	b.refill(now)
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

// refill adds one retry for each refillPeriod since the last refill.
func (b *Budget) refill(now timer.Instant) {
	last := b.lastRefill.Load()
	periods := int64(now.Sub(timer.Instant(last)) / refillPeriod)
	if periods <= 0 {
		return
	}
	if b.lastRefill.CompareAndSwap(last, last+periods*int64(refillPeriod)) {
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
