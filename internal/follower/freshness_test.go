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

// step is one event of a scenario, at an instant.
type step struct {
	at   time.Duration
	what string
	do   func(f *follower.Freshness, at timer.Instant)
}

const ownNext = recorder.Offset(5)

func caughtUp(f *follower.Freshness, at timer.Instant) { f.CaughtUp(at) }

func logCallFailed(f *follower.Freshness, at timer.Instant) { f.LogCallEnded(at) }

func nothing(*follower.Freshness, timer.Instant) {}

func answer(peer member.ID, next recorder.Offset, known bool, age time.Duration, ready bool) func(*follower.Freshness, timer.Instant) {
	return func(f *follower.Freshness, at timer.Instant) {
		f.PeerAnswered(follower.NewPeerPosition(peer, at, follower.NewPosition(next, known, age, ready)), ownNext)
	}
}

// TestFreshness compares with testdata/freshness.golden when a VM's state is fresh
// and when it is confirmed.
func TestFreshness(t *testing.T) {
	const s = time.Second
	scenarios := []struct {
		name  string
		peers []member.ID
		steps []step
	}{
		{"the log answers", []member.ID{"b", "c"}, []step{
			{0, "no information yet", nothing},
			{1 * s, "caught up with the log", caughtUp},
			{4 * s, "no answer", nothing},
			{5 * s, "no answer", nothing},
			{6 * s, "caught up with the log", caughtUp},
		}},
		{"no access to the log, but a peer has it", []member.ID{"b", "c", "d"}, []step{
			{1 * s, "b complete 500 ms ago", answer("b", 5, true, 500*time.Millisecond, true)},
			{4 * s, "no answer", nothing},
			{5 * s, "no answer", nothing},
			{6 * s, "b is ahead", answer("b", 6, true, 0, true)},
			{7 * s, "c is not ahead, b was", answer("c", 5, true, 0, true)},
		}},
		{"the log is down for all VMs", []member.ID{"b", "c", "d"}, []step{
			{1 * s, "log call failed", logCallFailed},
			{1 * s, "b has the same offset", answer("b", 5, true, 20*s, true)},
			{1 * s, "c has it too: a majority", answer("c", 5, true, 20*s, true)},
			{4 * s, "b still has that offset", answer("b", 5, true, 23*s, true)},
			{5 * s, "no answer from c", nothing},
		}},
		{"all VMs are new", []member.ID{"b", "c"}, []step{
			{1 * s, "b has no information", answer("b", 0, false, 0, false)},
			{1 * s, "c has no information", answer("c", 0, false, 0, false)},
		}},
		{"an answer from a VM that is not a peer", []member.ID{"b", "c"}, []step{
			{1 * s, "x is not a peer", answer("x", 5, true, 0, true)},
		}},
		{"process paused for a minute", []member.ID{"b", "c"}, []step{
			{1 * s, "caught up with the log", caughtUp},
			{1 * s, "b has the same offset", answer("b", 5, true, 0, true)},
			{61 * s, "process resumed", nothing},
			{61 * s, "b is ahead", answer("b", 6, true, 0, true)},
		}},
		{"no peers", nil, []step{
			{1 * s, "caught up with the log", caughtUp},
			{3 * s, "log call failed", logCallFailed},
			{6 * s, "no answer", nothing},
			{7 * s, "no answer", nothing},
		}},
	}
	var out strings.Builder
	for _, c := range scenarios {
		f := follower.NewFreshness()
		f.SetPeers(c.peers)
		fmt.Fprintf(&out, "%s, %d peers\n", c.name, len(c.peers))
		for _, p := range c.steps {
			at := timer.Instant(p.at)
			p.do(f, at)
			fmt.Fprintf(&out, "  %4v %-26s fresh=%v confirmed=%v\n", p.at, p.what, at.Before(f.Until()), f.Confirmed())
		}
	}
	goldie.New(t).Assert(t, "freshness", []byte(out.String()))
}
