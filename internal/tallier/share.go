package tallier

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// usedShare is the fraction of the allowed share that the fleet uses. The rest covers
	// uses of VMs that do not know of each other's yet, and the slot by which the counted
	// requests may be older than the window.
	usedShare = 0.75
	// offsetWindows is the number of windows after which a VM draws a new offset. Few VMs
	// draw one within any single window.
	offsetWindows = 8
	// slotExcess is the length of the counted slots as a multiple of the window.
	slotExcess = 1 + 1.0/slotsPerWindow
	// deviations is the number of standard deviations by which the fleet's total, of shares
	// that each VM rounds by itself, may exceed its mean.
	deviations = 3
)

// share is the limiter of a share of the requests, without extra uses. A use needs both
// of: the fleet used less than the share of its requests, as far as this VM knows, and
// this VM used less than the share of its own requests. The second holds without any
// report of another VM, so that the fleet keeps the limit while reports are late or lost.
type share struct {
	// fleet holds what all VMs requested and used, and own what this VM did.
	fleet *window
	own   *window
	// allowed is the share of the requests that the limit allows.
	allowed float64
	seed    uint32
	now     timer.Instant
}

func newShare(l Limit, began timer.Instant) *share {
	s := &share{
		fleet: newWindow(l, began),
		own:   newWindow(l, began),
	}
	s.setLimit(l)

	return s
}

func (s *share) setLimit(l Limit) {
	s.allowed = l.perRequest
	s.seed = l.seed
	l.perRequest *= usedShare
	s.fleet.setLimit(l)
	s.own.setLimit(l)
}

func (s *share) advance(now timer.Instant, f fleet) {
	s.now = now
	s.fleet.advance(now, f)
	s.own.advance(now, f)
}

func (s *share) addOwn(requested, used float64) {
	s.fleet.addOwn(requested, used)
	s.own.addOwn(requested, used)
}

func (s *share) addRemote(requested, used float64) { s.fleet.addRemote(requested, used) }

// remaining returns 0 for the length of a window after the start of this VM, since it
// does not know what it used before a restart.
func (s *share) remaining(f fleet, r Reserve) (left, part float64) {
	if s.own.age < s.own.length {
		return 0, 0
	}

	s.own.perRequest = s.allowed * s.ownFraction(f)

	return s.fleet.left(f, r), s.own.left(fleet{heard: 1, known: 1}, r) + s.offset()
}

// ownFraction returns the fraction of the share that each VM uses of its own requests. Since
// each VM rounds by itself, the total of the fleet varies, by a variance of a quarter for each
// VM or of its mean if that is less. The fraction leaves room for that, and is small where
// the share of the whole fleet is a few uses.
func (s *share) ownFraction(f fleet) float64 {
	requested, _ := s.fleet.recent(s.fleet.length)
	allowed := s.allowed * (requested/slotExcess - math.Sqrt(float64(f.known)*requested))
	if allowed <= 0 {
		return 0
	}
	byVMs := allowed - deviations*math.Sqrt(float64(f.known))/2
	// The mean m for which m + deviations * sqrt(m) is what is allowed.
	root := (math.Sqrt(deviations*deviations+4*allowed) - deviations) / 2

	return min(usedShare, max(byVMs, root*root)/(s.allowed*requested))
}

// offset returns a number from 0 to below 1, evenly distributed over the VMs and times,
// that is added to the share of a VM's own requests before it is rounded down. Otherwise a
// VM whose share of a window is below 1 could never use anything.
func (s *share) offset() float64 {
	period := offsetWindows * s.own.length
	phase := time.Duration(float64(period) * fraction(s.seed, -1))

	return fraction(s.seed, int64(s.now.Add(phase))/int64(period))
}

// fraction returns a number from 0 to below 1 that depends on the seed and the number.
func fraction(seed uint32, n int64) float64 {
	return rand.New(rand.NewPCG(uint64(seed), uint64(n))).Float64() //nolint:gosec // The same on each call; not a secret.
}

func (*share) refuse(fleet) time.Duration { return windowRetryAfter }

func (s *share) startRound() {
	s.fleet.startRound()
	s.own.startRound()
}

func (s *share) recent(span time.Duration) (requested, used float64) { return s.fleet.recent(span) }

// NewShare returns a limit of perRequest uses for each request, in any sliding window of
// the given length; the requests are those of the window, of the window before it or of
// the one half a window before it, whichever are most. The seed differs between VMs.
func NewShare(perRequest float64, window time.Duration, seed uint32) Limit {
	return Limit{
		perRequest: perRequest,
		window:     window,
		isShare:    true,
		seed:       seed,
	}
}
