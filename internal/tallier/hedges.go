package tallier

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/hasher"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// LatencyBuckets is the number of accounts of the latencies of a route. They have
// successive numbers, so that one entry in a table of limits covers them.
const LatencyBuckets = 64

// HedgeAccount returns the account of a service's requests and of their hedges.
func HedgeAccount(service string) Account { return Account(hasher.Sum("hedge", service)) }

// LatencyAccount returns the account that counts the route's attempts in a bucket of
// latency, which is at least 0 and below LatencyBuckets.
func LatencyAccount(route string, bucket int) Account {
	return Account(hasher.Sum("latency", route)).Block() | Account(bucket%LatencyBuckets) //nolint:gosec // A small number.
}

// Block returns the first account of the LatencyBuckets ones of which this one is part, if
// it counts latencies.
func (a Account) Block() Account { return a &^ (LatencyBuckets - 1) }

// UseAll reports whether one more use of each account is allowed, and then counts it for
// all of them. An account without a limit allows everything. The verdict is that of the first
// account that refuses.
func (t *Tallier) UseAll(now timer.Instant, ids ...Account) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*account
	for _, id := range ids {
		a, ok := t.account(now, id)
		if !ok {
			continue
		}
		if left, part := a.limiter.remaining(t.fleet, Reserve{}); !suffices(left, part) {
			return a.refusal(t.fleet, left, part)
		}
		list = append(list, a)
	}
	for _, a := range list {
		a.addUse()
	}

	return Verdict{
		granted: true,
	}
}

// Requested returns for each account what the fleet requested within the span, which the
// window of its limit bounds; 0 for an account that nothing was counted for. It
// creates no account.
func (t *Tallier) Requested(now timer.Instant, ids []Account, span time.Duration) []float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make([]float64, len(ids))
	for i, id := range ids {
		if _, known := t.accounts[id]; !known {
			continue
		}
		if a, ok := t.account(now, id); ok {
			counts[i], _ = a.limiter.recent(span)
		}
	}

	return counts
}
