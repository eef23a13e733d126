package granter_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/granter"
	"github.com/lagoonkeel/lagoonkeel/internal/keyer"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

func team(rate, burst float64) *manifester.Team {
	return manifester.NewTeam("guides", rate, burst, 1, []string{keyer.Digest("lk_test")})
}

func manifest(t *testing.T, teams ...*manifester.Team) *manifester.Manifest {
	t.Helper()
	m, err := manifester.Restore(0, nil, teams, nil)
	if err != nil {
		t.Fatal(err)
	}

	return m
}

// TestSlotLimits compares the division of teams' rate limits into slots with the
// golden file.
func TestSlotLimits(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct{ rate, burst float64 }{
		{1, 1},
		{10, 1},
		{100, 1},
		{100, 2},
		{100, 10},
		{50, 100},
		{1000, 100},
		{1000, 5000},
	} {
		l := granter.SlotLimitsOf(team(c.rate, c.burst))
		fmt.Fprintf(&out, "rate %v burst %v: slots %d, each rate %.3f capacity %.3f lifetime %v\n",
			c.rate, c.burst, l.Slots(), l.Rate(), l.Capacity(), l.Lifetime())
		reserved := l.Capacity() + l.Rate()*l.Lifetime().Seconds()
		if allowed := c.burst / float64(l.Slots()); l.Capacity() > 1 && reserved > allowed {
			t.Errorf("rate %v burst %v: capacity and reserved tokens are %v, want at most %v", c.rate, c.burst, reserved, allowed)
		}
	}
	goldie.New(t).Assert(t, "slot_limits", []byte(out.String()))
}

// step is one request for tokens in a transcript.
type step struct {
	at   time.Duration
	term uint64
	// rate and burst, if set, are the team's limits from before the request on.
	rate, burst   float64
	slot          int
	needed, spare int
}

// TestAllocator compares the replies to sequences of requests for tokens with the
// golden files.
func TestAllocator(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"new-term", []step{
			{at: 0, term: 1, rate: 10, burst: 4, needed: 1},
			{at: 200 * time.Millisecond, term: 1, needed: 3},
			{at: 5 * time.Second, term: 1, needed: 5},
			{at: 5 * time.Second, term: 2, needed: 1},
			{at: 5100 * time.Millisecond, term: 2, needed: 1},
			{at: 9 * time.Second, term: 2, needed: 1, spare: 9},
			{at: 9 * time.Second, term: 2, slot: 1, needed: 1},
		}},
		{"higher-rate", []step{
			{at: 0, term: 1, rate: 10, burst: 6, needed: 0},
			{at: 5 * time.Second, term: 1, needed: 10},
			{at: 5 * time.Second, term: 1, rate: 40, burst: 3, needed: 1},
			{at: 5100 * time.Millisecond, term: 1, needed: 1},
			{at: 5300 * time.Millisecond, term: 1, needed: 9},
			{at: 9 * time.Second, term: 1, needed: 9},
		}},
		{"lower-rate", []step{
			{at: 0, term: 1, rate: 40, burst: 6, needed: 0},
			{at: 5 * time.Second, term: 1, rate: 10, burst: 3, needed: 9},
			{at: 5100 * time.Millisecond, term: 1, needed: 9},
		}},
		{"more-slots", []step{
			{at: 0, term: 1, rate: 10, burst: 10, needed: 0},
			{at: 5 * time.Second, term: 1, rate: 10, burst: 20, needed: 20},
			{at: 5 * time.Second, term: 1, slot: 1, needed: 9},
			{at: 14 * time.Second, term: 1, slot: 1, needed: 9},
			{at: 15 * time.Second, term: 1, slot: 1, needed: 9},
			{at: 16 * time.Second, term: 1, slot: 1, needed: 9},
		}},
		{"fewer-slots", []step{
			{at: 0, term: 1, rate: 10, burst: 20, needed: 0},
			{at: 5 * time.Second, term: 1, rate: 10, burst: 10, needed: 20},
			{at: 14 * time.Second, term: 1, needed: 20},
			{at: 14 * time.Second, term: 1, slot: 1, needed: 20},
			{at: 15 * time.Second, term: 1, needed: 20},
			{at: 25 * time.Second, term: 1, needed: 20},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			goldie.New(t).Assert(t, c.name, []byte(transcript(t, c.steps)))
		})
	}
}

func transcript(t *testing.T, steps []step) string {
	t.Helper()
	var out strings.Builder
	a := granter.NewAllocator()
	for _, s := range steps {
		now := timer.Instant(0).Add(s.at)
		if s.rate > 0 {
			a.Configure(now, manifest(t, team(s.rate, s.burst)))
			fmt.Fprintf(&out, "%v limits rate %v burst %v\n", s.at, s.rate, s.burst)
		}
		r := a.Grant(now, member.NewTerm(s.term, 1), granter.NewTokenRequest("guides", s.slot, s.needed, s.spare))
		fmt.Fprintf(&out, "%v term %d slot %d needs %d+%d: state %d tokens %d lifetime %v wait %v\n",
			s.at, s.term, s.slot, s.needed, s.spare, r.State(), r.Tokens(), r.Lifetime(), r.Wait().Round(time.Millisecond))
	}

	return out.String()
}

// TestRemovedTeam checks that a team that is removed and added again gets no second
// burst.
func TestRemovedTeam(t *testing.T) {
	a := granter.NewAllocator()
	term := member.NewTerm(1, 1)
	a.Configure(0, manifest(t, team(1, 4)))
	a.Grant(0, term, granter.NewTokenRequest("guides", 0, 0, 0))
	at := timer.Instant(0).Add(time.Minute)
	first := a.Grant(at, term, granter.NewTokenRequest("guides", 0, 9, 0)).Tokens()
	a.Configure(at, manifest(t))
	if s := a.Grant(at, term, granter.NewTokenRequest("guides", 0, 1, 0)).State(); s != granter.StateUnknownSlot {
		t.Errorf("a request for a removed team got state %d, want StateUnknownSlot", s)
	}
	a.Configure(at, manifest(t, team(1, 4)))
	if second := a.Grant(at, term, granter.NewTokenRequest("guides", 0, 9, 0)).Tokens(); first == 0 || second != 0 {
		t.Errorf("got %d tokens, and %d after the team was added again; want some, then 0", first, second)
	}
}
