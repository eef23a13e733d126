// Package tallier enforces limits over the whole fleet without a VM that owns
// them: every VM counts what it used, learns from reports what the others used, and
// uses no more in a round than its share of what is left. A VM that hears only some
// of the others uses only their fraction of the limit, so that the sides of a
// network partition together stay within it. A round is the time between two
// reports. The package does no I/O.
package tallier

import (
	"fmt"
	"sync"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/hasher"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Account identifies one limit by a hash of its kind and name.
type Account uint32

// TeamAccount returns the account of a team's rate.
func TeamAccount(name string) Account { return Account(hasher.Sum("team", name)) }

// RetryAccount returns the account of a service's requests and their retries.
func RetryAccount(service string) Account { return Account(hasher.Sum("retry", service)) }

// ShedAccount returns the account of a service's attempts and of those among them that
// targets rejected.
func ShedAccount(service string) Account { return Account(hasher.Sum("shed", service)) }

// FailureAccount returns the account of a service's requests and of those among
// them that were not served.
func FailureAccount(service string) Account { return Account(hasher.Sum("failure", service)) }

// resolver finds limits.
type resolver interface {
	// Limit returns the limit of the account, or false for one without.
	Limit(a Account) (Limit, bool)
}

// Limit bounds the use of an account.
type Limit struct {
	// rate is the sustained use per second that is allowed.
	rate float64
	// burst is the most use that can be saved up.
	burst float64
	// perRequest is the use that each request allows, and extra what is allowed on
	// top of it in each window. The window is 0 for a limit of a rate.
	perRequest float64
	extra      float64
	window     time.Duration
	// isShare is set where each VM also keeps the ratio of its own requests, and seed
	// then differs between VMs.
	isShare bool
	seed    uint32
}

// NewRate returns a limit of a rate per second and a burst.
func NewRate(rate, burst float64) Limit {
	return Limit{
		rate:  rate,
		burst: burst,
	}
}

// NewRatio returns a limit of perRequest uses for each request and extra ones on top
// of that, in any sliding window of the given length.
func NewRatio(perRequest, extra float64, window time.Duration) Limit {
	return Limit{
		perRequest: perRequest,
		extra:      extra,
		window:     window,
	}
}

// idleTime is how long an account is kept while its counts do not change.
const idleTime = 5 * time.Minute

// Count holds the requests and the use of an account at one VM, since the VM created
// the account: at its start, or later where it had dropped the account as idle.
type Count struct {
	account   Account
	requested uint32
	used      uint32
}

// NewCount returns a count.
func NewCount(a Account, requested, used uint32) Count {
	return Count{
		account:   a,
		requested: requested,
		used:      used,
	}
}

// Account returns the account.
func (c Count) Account() Account { return c.account }

// Requested returns how much was requested.
func (c Count) Requested() uint32 { return c.requested }

// Used returns how much was used.
func (c Count) Used() uint32 { return c.used }

// Verdict is the decision on one use.
type Verdict struct {
	granted bool
	// retryAfter is the time after which another request may be granted; 0 where granted.
	retryAfter time.Duration
	// reserved is set where the use is refused only because the rest is reserved.
	reserved bool
	// basis is what a refusal is based on; zero where granted.
	basis Basis
}

// Basis is what a VM knew of a limit when it refused a use.
type Basis struct {
	// left is what the fleet may still use; below 0 where VMs used more.
	left float64
	// part is what this VM may still use in the present round.
	part float64
	// heard is the number of VMs, this one included, whose reports arrive, and known
	// the number of all.
	heard int
	known int
}

// String returns the fields as name=value pairs.
func (b Basis) String() string {
	return fmt.Sprintf("left=%.1f part=%.1f heard=%d known=%d", b.left, b.part, b.heard, b.known)
}

// Granted reports whether the use is allowed.
func (v Verdict) Granted() bool { return v.granted }

// Reserved reports whether the use is refused only because the rest is reserved.
func (v Verdict) Reserved() bool { return v.reserved }

// Basis returns what a refusal is based on.
func (v Verdict) Basis() Basis { return v.basis }

// RetryAfter returns the time after which another request may be granted.
func (v Verdict) RetryAfter() time.Duration { return v.retryAfter }

// Tallier holds the accounts of one VM. It is safe for concurrent use.
type Tallier struct {
	limits resolver
	// mu guards what follows; it is held for one calculation.
	mu       sync.Mutex
	accounts map[Account]*account
	fleet    fleet
	// began is when this VM started to count.
	began timer.Instant
}

// New returns a tallier of a VM that knows no other and counts from now on.
func New(now timer.Instant, r resolver) *Tallier {
	return &Tallier{
		limits:   r,
		began:    now,
		accounts: map[Account]*account{},
		fleet: fleet{
			heard: 1,
			known: 1,
		},
	}
}

// SetVMCounts sets how many VMs, this one included, are heard and known.
func (t *Tallier) SetVMCounts(heard, known int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known = max(1, known)
	t.fleet = fleet{
		heard: min(max(1, heard), known),
		known: known,
	}
}

// Acquire counts a request and reports whether one more use is allowed, which it then
// counts. An account without a limit grants everything.
func (t *Tallier) Acquire(now timer.Instant, id Account) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.account(now, id)
	if !ok {
		return Verdict{
			granted: true,
		}
	}
	a.addRequest()

	return a.use(t.fleet, Reserve{})
}

// AddRequest counts a request that uses nothing by itself.
func (t *Tallier) AddRequest(now timer.Instant, id Account) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := t.account(now, id); ok {
		a.addRequest()
	}
}

// Use reports whether one more use is allowed, which it then counts. It counts no
// request. An account without a limit grants everything.
func (t *Tallier) Use(now timer.Instant, id Account) Verdict {
	return t.UseAbove(now, id, Reserve{})
}

// UseAbove is like Use, but it leaves the reserve of a limit of a ratio unused.
func (t *Tallier) UseAbove(now timer.Instant, id Account, r Reserve) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.account(now, id)
	if !ok {
		return Verdict{
			granted: true,
		}
	}

	return a.use(t.fleet, r)
}

// Check returns what UseAbove would decide, without the basis of a refusal, and counts
// nothing.
func (t *Tallier) Check(now timer.Instant, id Account, r Reserve) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.account(now, id)
	if !ok || a.allows(t.fleet, r) {
		return Verdict{
			granted: true,
		}
	}

	return Verdict{
		reserved: a.allows(t.fleet, r.withoutFraction()),
	}
}

// AddUse counts one use, whether it is allowed or not.
func (t *Tallier) AddUse(now timer.Instant, id Account) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := t.account(now, id); ok {
		a.total.used++
		a.limiter.addOwn(0, 1)
	}
}

// Recent returns what the fleet requested and used within the span, which the window
// of the limit bounds; 0 for an account without a window, or one that nothing was counted
// for. It creates no account.
func (t *Tallier) Recent(now timer.Instant, id Account, span time.Duration) (requested, used float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.accounts[id]; !known {
		return 0, 0
	}
	a, ok := t.account(now, id)
	if !ok {
		return 0, 0
	}

	return a.limiter.recent(span)
}

// AddRemote adds what another VM has requested and used since its report before.
func (t *Tallier) AddRemote(now timer.Instant, id Account, requested, used uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.account(now, id)
	if !ok {
		return
	}
	a.limiter.addRemote(float64(requested), float64(used))
}

// StartRound returns the counts that changed since the last round and starts a new one,
// in which this VM gets a new share of what is left. It drops idle accounts.
func (t *Tallier) StartRound(now timer.Instant) []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Count
	for id, a := range t.accounts {
		if a.total != a.reported {
			changed = append(changed, NewCount(id, a.total.requested, a.total.used))
			a.reported = a.total
			a.changed = now
		} else if now.Sub(a.changed) > idleTime {
			delete(t.accounts, id)
		}
		a.limiter.startRound()
	}

	return changed
}

// account returns the account as of now, or false for one without a limit; the lock
// must be held.
func (t *Tallier) account(now timer.Instant, id Account) (*account, bool) {
	l, limited := t.limits.Limit(id)
	if !limited {
		delete(t.accounts, id)

		return nil, false
	}
	a, ok := t.accounts[id]
	if !ok {
		a = newAccount(l, t.began, now, t.fleet)
		t.accounts[id] = a
	}
	a.limiter.setLimit(l)
	a.limiter.advance(now, t.fleet)

	return a, true
}
