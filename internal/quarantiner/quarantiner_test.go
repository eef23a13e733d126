package quarantiner_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/quarantiner"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// peers passes marks on to other VMs.
type peers struct {
	quarantiners []*quarantiner.Quarantiner
}

func (p *peers) Broadcast(_ context.Context, m quarantiner.Mark) {
	for _, q := range p.quarantiners {
		q.Apply(m)
	}
}

// TestQuarantine compares the states of requests after marks with
// testdata/quarantine.golden. Two VMs receive each other's marks.
func TestQuarantine(t *testing.T) {
	var out bytes.Buffer
	clock := timer.NewManual(1)
	toOne, toTwo := &peers{}, &peers{}
	one := quarantiner.New(clock, toTwo, logger.Discard())
	two := quarantiner.New(clock, toOne, logger.Discard())
	toOne.quarantiners = []*quarantiner.Quarantiner{one}
	toTwo.quarantiners = []*quarantiner.Quarantiner{two}
	ctx := context.Background()
	show := func(title string, f quarantiner.Fingerprint) {
		fmt.Fprintf(&out, "%v %s: %s blocked=%v/%v noSuspects=%v\n", time.Duration(clock.Now()-1), title, f, one.Blocked(f), two.Blocked(f), one.Empty())
	}
	show("at the start", "a")
	one.RecordDeath(ctx, "a", "t1")
	show("a target crashed", "a")
	two.RecordDeath(ctx, "a", "t1")
	show("the other VM reports the same crash", "a")
	clock.Advance(3 * time.Second)
	two.RecordDeath(ctx, "a", "t2")
	show("a second target crashed", "a")
	show("another request", "b")
	one.RecordSurvival(ctx, "a")
	show("a response during the quarantine", "a")
	clock.Advance(5 * time.Minute)
	show("after the quarantine", "a")

	one.RecordDeath(ctx, "b", "t1")
	two.RecordSurvival(ctx, "b")
	show("a suspect request got a response through the other VM", "b")
	one.RecordDeath(ctx, "b", "t2")
	show("a crash after the response", "b")
	clock.Advance(11 * time.Minute)
	two.RecordDeath(ctx, "b", "t3")
	show("another crash after the suspicion ended", "b")
	clock.Advance(3 * time.Second)
	one.RecordDeath(ctx, "b", "t3")
	show("the same target crashed again", "b")
	for i := range 600 {
		one.RecordDeath(ctx, quarantiner.Fingerprint(fmt.Sprint(i)), "t")
	}
	show("after 600 other suspect requests", "b")
	goldie.New(t).Assert(t, "quarantine", out.Bytes())
}

// TestManySuspects checks that a request is quarantined at its second crash although as
// many others as are kept are quarantined already, and that suspects make room first.
func TestManySuspects(t *testing.T) {
	const kept = 512
	clock := timer.NewManual(1)
	q := quarantiner.New(clock, &peers{}, logger.Discard())
	crash := func(f quarantiner.Fingerprint, target string) {
		q.RecordDeath(context.Background(), f, target)
		clock.Advance(time.Millisecond)
	}
	for i := range kept - 1 {
		crash(quarantiner.Fingerprint(fmt.Sprint(i)), "t1")
		crash(quarantiner.Fingerprint(fmt.Sprint(i)), "t2")
	}
	crash("suspect", "t1")
	crash("new", "t1")
	crash("new", "t2")
	if !q.Blocked("new") || !q.Blocked("0") {
		t.Errorf("new is quarantined: %v, the oldest: %v; want both, since a suspect made room", q.Blocked("new"), q.Blocked("0"))
	}
	crash("newer", "t1")
	crash("newer", "t2")
	if !q.Blocked("newer") || q.Blocked("0") {
		t.Errorf("newer is quarantined: %v, the oldest: %v; want only newer", q.Blocked("newer"), q.Blocked("0"))
	}
}
