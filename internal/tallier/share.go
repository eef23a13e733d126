package tallier

import (
	"encoding/binary"
	"hash/fnv"
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
)

// share is the limiter of a share of the requests, without extra uses. A use needs both
// of: the fleet used less than the share of its requests, as far as this VM knows, and
// this VM used less than the share of its own requests. The second holds without any
// report of another VM, so that the fleet keeps the limit while reports are late or lost.
type share struct {
	// fleet holds what all VMs requested and used, and own what this VM did.
	fleet *window
	own   *window
	seed  uint32
	now   timer.Instant
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
	l.perRequest *= usedShare
	s.fleet.setLimit(l)
	s.own.setLimit(l)
	s.seed = l.seed
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
func (s *share) remaining(f fleet) (left, part float64) {
	if s.own.age < s.own.length {
		return 0, 0
	}

	return s.fleet.left(f), s.own.left(fleet{heard: 1, known: 1}) + s.offset()
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
	h := fnv.New64a()
	var b [12]byte
	binary.BigEndian.PutUint32(b[:], seed)
	binary.BigEndian.PutUint64(b[4:], uint64(n)) //nolint:gosec // Only the bits matter.
	_, _ = h.Write(b[:])                         // Writing to a hash never fails.

	return float64(mix(h.Sum64())>>11) / (1 << 53) //nolint:mnd // The 53 bits of a float's mantissa.
}

// mix spreads every bit of x over all bits; the high bits of FNV-1a depend little on the
// last bytes. It is the finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33            //nolint:mnd // Constants of the finalizer.
	x *= 0xff51afd7ed558ccd //nolint:mnd // Constants of the finalizer.
	x ^= x >> 33            //nolint:mnd // Constants of the finalizer.
	x *= 0xc4ceb9fe1a85ec53 //nolint:mnd // Constants of the finalizer.

	return x ^ x>>33 //nolint:mnd // Constants of the finalizer.
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
