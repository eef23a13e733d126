package tallier

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused request may
	// be sent again.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// fleet holds the numbers of VMs by which a VM takes its share of a limit.
type fleet struct {
	// heard is the number of VMs, this one included, whose reports arrive, and known
	// the number of all; heard is between 1 and known.
	heard int
	known int
}

// heardFraction returns the fraction of the fleet that is heard; above 0, at most 1.
func (f fleet) heardFraction() float64 { return float64(f.heard) / float64(f.known) }

// limiter decides by one kind of limit what may be used, from the requests and the
// use of all VMs that this VM knows of.
type limiter interface {
	// setLimit sets the limit, which may have changed.
	setLimit(l Limit)
	// advance brings the state up to the instant.
	advance(now timer.Instant, f fleet)
	// addOwn adds requests and use of this VM, and addRemote those of another VM.
	addOwn(requested, used float64)
	addRemote(requested, used float64)
	// remaining returns what the fleet may still use (left), and what this VM may
	// still use in the present round (part), if the reserve stays unused.
	remaining(f fleet, r Reserve) (left, part float64)
	// refuse returns the time after which a refused request may be granted. It may
	// count the request as one that will be sent again.
	refuse(f fleet) time.Duration
	// clone returns a copy that shares no state.
	clone() limiter
	// startRound starts a new round.
	startRound()
	// recent returns what the fleet requested and used within the span.
	recent(span time.Duration) (requested, used float64)
}

// usage is what one VM has requested and used of an account since it created the
// account.
type usage struct {
	requested uint32
	used      uint32
}

// account is the state of one limit at this VM.
type account struct {
	limiter limiter
	// total is the usage of this VM, and reported is what the last report said of it.
	total    usage
	reported usage
	// changed is when a changed total was last reported, or when the account was
	// created.
	changed timer.Instant
}

// newAccount returns an account; began is when this VM began to count.
func newAccount(l Limit, began, now timer.Instant, f fleet) *account {
	a := &account{
		changed: now,
	}
	switch {
	case l.isShare:
		a.limiter = newShare(l, began)
	case l.window > 0:
		a.limiter = newWindow(l, began)
	default:
		a.limiter = newBucket(l, began, now, f)
	}

	return a
}

// addRequest counts a request of this VM.
func (a *account) addRequest() {
	a.total.requested++
	a.limiter.addOwn(1, 0)
}

// allows reports whether one more use by this VM is allowed that leaves the
// reserve unused.
func (a *account) allows(f fleet, r Reserve) bool {
	return suffices(a.limiter.remaining(f, r))
}

// suffices reports whether what the fleet and this VM may still use is enough for one use.
func suffices(left, part float64) bool { return left >= 1 && part >= 1 }

// use counts one use by this VM, if it is allowed. It leaves the reserve unused.
func (a *account) use(f fleet, r Reserve) Verdict {
	if left, part := a.limiter.remaining(f, r); !suffices(left, part) {
		v := a.refusal(f, left, part)
		v.reserved = a.allows(f, r.withoutFraction())

		return v
	}
	a.addUse()

	return Verdict{
		granted: true,
	}
}

// addUse counts one use by this VM.
func (a *account) addUse() {
	a.total.used++
	a.limiter.addOwn(0, 1)
}

// refusal returns the verdict on a use that is not allowed. The limiter may count it as one
// that will be requested again.
func (a *account) refusal(f fleet, left, part float64) Verdict {
	return Verdict{
		retryAfter: min(max(a.limiter.refuse(f), minRetryAfter), maxRetryAfter),
		basis: Basis{
			left:  left,
			part:  part,
			heard: f.heard,
			known: f.known,
		},
	}
}
