package member

import "time"

const (
	// LeaseDuration is how long an acknowledged ping counts towards the lease,
	// from the time it was sent.
	LeaseDuration = 1500 * time.Millisecond
	// leaseMargin is added to each wait for the leases of other VMs to end. It
	// covers clocks whose rates differ by up to one tenth.
	leaseMargin = LeaseDuration / 10
	// takeoverWait is the wait after which no lease that was valid at its
	// start can still be valid, on any VM's clock.
	takeoverWait = LeaseDuration + leaseMargin
	// pingPeriod is the time between two rounds of pings.
	pingPeriod = LeaseDuration / 4
	// suspectAfter is how long a member may be without a lease before others
	// promise to ban it.
	suspectAfter = LeaseDuration
	// pauseThreshold is the time between two rounds of pings above which a VM
	// assumes that its process was paused.
	pauseThreshold = 2 * pingPeriod
	// silentAfter is how long a member must be silent before it is removed.
	silentAfter = 4 * time.Second
	// pruneAfter is how long the state of a VM that is not a member is kept
	// after its last message.
	pruneAfter = time.Minute
	// maxListLag bounds how far the platform's list lags behind the VMs that
	// exist.
	maxListLag = 10 * time.Second
	// listStaleAfter is the age above which the last list is not evidence of
	// anything.
	listStaleAfter = 5 * time.Second
	// renewPeriod is the longest time between two accepted records, so that
	// the log always retains some of them.
	renewPeriod = 10 * time.Minute
	// reinstateAfter is how long a member must have been excluded by bans
	// before it proposes a new epoch, in which the bans no longer apply.
	reinstateAfter = 10 * time.Second
	// recordListedAfter is the age of an epoch after which a new one is
	// proposed to record that the platform's list has named another member.
	recordListedAfter = 30 * time.Second
	// staggerStep delays a proposal that any member may make, per place in the
	// order of the members, so that proposals seldom race.
	staggerStep = 500 * time.Millisecond
	// maxJitter bounds the part of a proposal's delay that differs between VMs
	// and epochs.
	maxJitter = 100 * time.Millisecond
	// initialBackoff and maxBackoff bound the delay after a proposal, without
	// its jitter.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
)
