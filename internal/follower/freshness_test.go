package follower_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/follower"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// step is one thing that a VM learns at an instant, and what it then decides.
type step struct {
	at   time.Duration
	what string
	do   func(f *follower.Freshness, at timer.Instant)
}

const ownNext = recorder.Offset(5)

func logReached(f *follower.Freshness, at timer.Instant) { f.LogReached(at) }

func logFailed(f *follower.Freshness, at timer.Instant) { f.LogTried(at) }

func nothing(*follower.Freshness, timer.Instant) {}

func word(peer member.ID, next recorder.Offset, known bool, age time.Duration, ready bool) func(*follower.Freshness, timer.Instant) {
	return func(f *follower.Freshness, at timer.Instant) {
		f.PeerAnswered(follower.NewWord(peer, at, follower.NewPosition(next, known, age, ready)), ownNext)
	}
}

// TestFreshness compares when a VM may decide keyed requests with the golden
// transcript.
func TestFreshness(t *testing.T) {
	const s = time.Second
	scenarios := []struct {
		name  string
		peers []member.ID
		steps []step
	}{
		{"the log answers", []member.ID{"b", "c"}, []step{
			{0, "nothing known", nothing},
			{1 * s, "log reached", logReached},
			{4 * s, "silence", nothing},
			{5 * s, "silence", nothing},
			{6 * s, "log reached", logReached},
		}},
		{"cut off from the log, a peer is not", []member.ID{"b", "c", "d"}, []step{
			{1 * s, "b is current, 500 ms old", word("b", 5, true, 500*time.Millisecond, true)},
			{4 * s, "silence", nothing},
			{5 * s, "silence", nothing},
			{6 * s, "b is ahead", word("b", 6, true, 0, true)},
			{7 * s, "c is level, but b had more", word("c", 5, true, 0, true)},
		}},
		{"the log is down for all", []member.ID{"b", "c", "d"}, []step{
			{1 * s, "log failed", logFailed},
			{1 * s, "b is level", word("b", 5, true, 20*s, true)},
			{1 * s, "c is level: a majority", word("c", 5, true, 20*s, true)},
			{4 * s, "b again", word("b", 5, true, 23*s, true)},
			{5 * s, "c is silent", nothing},
		}},
		{"all are new", []member.ID{"b", "c"}, []step{
			{1 * s, "b knows nothing", word("b", 0, false, 0, false)},
			{1 * s, "c knows nothing", word("c", 0, false, 0, false)},
		}},
		{"a stranger's word", []member.ID{"b", "c"}, []step{
			{1 * s, "x is no peer", word("x", 5, true, 0, true)},
		}},
		{"frozen for a minute", []member.ID{"b", "c"}, []step{
			{1 * s, "log reached", logReached},
			{1 * s, "b is level", word("b", 5, true, 0, true)},
			{61 * s, "woken", nothing},
			{61 * s, "b is ahead", word("b", 6, true, 0, true)},
		}},
		{"alone", nil, []step{
			{1 * s, "log reached", logReached},
			{3 * s, "log failed", logFailed},
			{6 * s, "silence", nothing},
			{7 * s, "silence", nothing},
		}},
	}
	var out strings.Builder
	for _, c := range scenarios {
		f := follower.NewFreshness()
		f.Regroup(c.peers)
		fmt.Fprintf(&out, "%s, %d peers\n", c.name, len(c.peers))
		for _, p := range c.steps {
			at := timer.Instant(p.at)
			p.do(f, at)
			fmt.Fprintf(&out, "  %4v %-26s fresh=%v confirmed=%v\n", p.at, p.what, at.Before(f.Until()), f.Complete())
		}
	}
	goldie.New(t).Assert(t, "freshness", []byte(out.String()))
}
