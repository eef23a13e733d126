package tallier

import (
	"math"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// shortestWait and longestWait bound what a refused ask is told.
	shortestWait = 100 * time.Millisecond
	longestWait  = 5 * time.Second
	// unheardTime is how long another VM's use may not be known yet.
	unheardTime = 700 * time.Millisecond
	// ratioWait is what a refused ask of a limit without a rate is told.
	ratioWait = time.Second
)

// tally is what one VM has asked for and used since its start.
type tally struct {
	asked uint32
	used  uint32
}

// account is one limit as this VM sees it.
type account struct {
	limit Limit
	// level is the use that is left over the fleet; below 0 where VMs used more
	// than there was.
	level float64
	at    timer.Instant
	// mine and others are the demand of this VM and of all others, weighted by
	// age.
	mine   float64
	others float64
	// own is what this VM counts, and told what the others were told of it.
	own  tally
	told tally
	// turnUsed is what this VM used since the last turn.
	turnUsed float64
	changed  timer.Instant
}

// refill takes the level and the demand on to the instant.
func (a *account) refill(now timer.Instant, presence float64) {
	passed := now.Sub(a.at)
	if passed <= 0 {
		return
	}
	a.at = now
	a.gain(a.limit.rate * presence * passed.Seconds())
	fade := math.Exp(-float64(passed) / float64(demandMemory))
	a.mine *= fade
	a.others *= fade
	a.level = math.Min(a.level, math.Max(1, a.limit.burst*presence))
}

func (a *account) gain(n float64) { a.level = math.Min(a.level+n, math.Max(1, a.limit.burst)) }

func (a *account) spend(n float64) {
	a.level = math.Max(a.level-n, -debtFactor*math.Max(1, a.limit.burst))
}

func (a *account) ask(n float64) {
	a.own.asked += uint32(n)
	a.mine += n
}

// allowed is what this VM may use in the present turn. Where there is more than
// all others are likely to use before they are heard again, that is all of the
// rest; else it is this VM's share.
func (a *account) allowed(heard int) float64 {
	unheard := a.others / demandMemory.Seconds() * unheardTime.Seconds()

	return math.Max(1, math.Max(a.level*a.share(heard), a.level-unheard))
}

// share is this VM's part of what is left, by demand.
func (a *account) share(heard int) float64 {
	floor := leastShare / float64(heard)
	total := a.mine + a.others
	if total <= 0 {
		return floor
	}

	return math.Max(floor, a.mine/total)
}

// waitTime is how long it takes until one more use is likely to be left.
func (a *account) waitTime(presence float64) time.Duration {
	rate := a.limit.rate * presence
	if rate <= 0 {
		return ratioWait
	}
	missing := math.Max(0, 1-a.level)
	wait := time.Duration(missing / rate * float64(time.Second))

	return min(max(wait, shortestWait), longestWait)
}
