package queuer

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/ranker"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// reservedShare is the fraction of the starts that a rank is guaranteed while more
	// important ranks have requests waiting.
	reservedShare = 1.0 / 16
	// maxReservedShare bounds the fraction that less important ranks are guaranteed
	// together, as there may be many of them.
	maxReservedShare = 2.0 / 16
	// intervalGain is the weight of a sample in the average time between two starts.
	intervalGain = 0.2
)

// level holds the requests of one rank. It divides starts among teams by start-time fair
// queueing: each start advances its team's tag by 1/weight, and the team with the lowest
// tag is next.
type level struct {
	rank ranker.Rank
	// virtualTime is the start tag of the last request that was started.
	virtualTime float64
	// finishTags maps each team to the finish tag of its last start.
	finishTags map[string]float64
	// open is the number of requests that are waiting or running; a level without any is
	// removed.
	open int
	// waiting is the number of requests that wait.
	waiting int
	// credit grows by the reserved share with each start that a more important rank gets
	// while this one has a request ready; at 1 this rank is served first.
	credit float64
	// lastStart is the instant of the last start, or that at which requests began to
	// wait, and interval the average time between two starts while requests waited; 0
	// before the first.
	lastStart timer.Instant
	interval  time.Duration
}

func newLevel(r ranker.Rank) *level {
	return &level{
		rank:       r,
		finishTags: map[string]float64{},
	}
}

// startTag returns the start tag of a team's next request.
func (l *level) startTag(team string) float64 {
	return max(l.virtualTime, l.finishTags[team])
}

// before reports whether the first of two tickets of this rank starts first.
func (l *level) before(a, b *Ticket) bool {
	if x, y := l.startTag(a.team), l.startTag(b.team); x != y {
		return x < y
	}

	return a.number < b.number
}

// recordWait counts a request that begins to wait.
func (l *level) recordWait(now timer.Instant) {
	if l.waiting == 0 {
		l.lastStart = now
	}
	l.waiting++
}

// recordStart advances the virtual time and the tag of the ticket's team, and updates the
// time between two starts. The ticket no longer counts as waiting.
func (l *level) recordStart(now timer.Instant, t *Ticket) {
	startTag := l.startTag(t.team)
	l.virtualTime = startTag
	l.finishTags[t.team] = startTag + 1/t.weight
	l.interval += time.Duration(intervalGain * float64(now.Sub(l.lastStart)-l.interval))
	l.lastStart = now
}
