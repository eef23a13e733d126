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

// TestMerge compares what a VM makes of the snapshots of another one with merge.golden. It
// guards against snapshots that quarantine a request which crashed one target, keep one in
// quarantine for longer than it is elsewhere, or bring a cleared one back.
func TestMerge(t *testing.T) {
	const second = time.Second
	crash := quarantiner.NewCrash
	mark := func(q *quarantiner.Quarantiner, targets ...string) {
		for _, target := range targets {
			q.Apply(quarantiner.NewDeath("a", target))
		}
	}
	respond := func(q *quarantiner.Quarantiner) { q.Apply(quarantiner.NewSurvival("a")) }
	snapshot := func(crashes ...quarantiner.Crash) quarantiner.Snapshot {
		return quarantiner.NewSnapshot("a", crashes...)
	}
	var out bytes.Buffer
	for _, c := range []struct {
		name string
		// before happens 10 s before the snapshot arrives.
		before func(q *quarantiner.Quarantiner)
		remote quarantiner.Snapshot
	}{
		{"two crashes, none known here", nil, snapshot(crash("t1", 20*second), crash("t2", 5*second))},
		{"two crashes, nine minutes apart", nil, snapshot(crash("t1", 9*time.Minute), crash("t2", 5*second))},
		{"two crashes of one target", nil, snapshot(crash("t1", 20*second), crash("t1", 5*second))},
		{"one crash, none known here", nil, snapshot(crash("t1", 20*second))},
		{"one crash, another one known here", func(q *quarantiner.Quarantiner) { mark(q, "t2") }, snapshot(crash("t1", 20*second))},
		{"one crash of a target whose crash is known here, at another instant", func(q *quarantiner.Quarantiner) { mark(q, "t1") }, snapshot(crash("t1", 3*second))},
		{"in quarantine at both, longer there", func(q *quarantiner.Quarantiner) { mark(q, "t1", "t2") }, snapshot(crash("t1", second), crash("t2", 0))},
		{"cleared here after the crashes", func(q *quarantiner.Quarantiner) { mark(q, "t1"); respond(q) }, snapshot(crash("t1", 15*second), crash("t2", 12*second))},
		{"cleared here between the crashes", func(q *quarantiner.Quarantiner) { mark(q, "t1"); respond(q) }, snapshot(crash("t1", 15*second), crash("t2", 5*second))},
		{"cleared here before the crashes", func(q *quarantiner.Quarantiner) { mark(q, "t1"); respond(q) }, snapshot(crash("t2", 5*second), crash("t3", 4*second))},
		{"cleared there after the crashes known here", func(q *quarantiner.Quarantiner) { mark(q, "t1", "t2") }, snapshot().ClearedBefore(8 * second)},
		{"cleared there before the crashes known here", func(q *quarantiner.Quarantiner) { mark(q, "t1", "t2") }, snapshot().ClearedBefore(12 * second)},
		{"a crash without a target", nil, snapshot(crash("", second), crash("t2", second))},
		{"crashes in the future", nil, snapshot(crash("t1", -time.Hour), crash("t2", -time.Hour))},
		{"crashes longer ago than a quarantine lasts", nil, snapshot(crash("t1", 6*time.Minute), crash("t2", 5*time.Minute))},
		{"cleared in the future", func(q *quarantiner.Quarantiner) { mark(q, "t1", "t2") }, snapshot().ClearedBefore(-time.Hour)},
	} {
		clock := timer.NewManual(timer.Instant(time.Hour))
		q := quarantiner.New(clock, &peers{}, logger.Discard())
		if c.before != nil {
			c.before(q)
		}
		clock.Advance(10 * second)
		contradicted := q.Merge([]quarantiner.Snapshot{c.remote})
		fmt.Fprintf(&out, "%s: blocked=%v suspected=%v contradicted=%d", c.name, q.Blocked("a"), q.Suspected("a"), len(contradicted))
		left := time.Duration(0)
		for ; q.Blocked("a"); left += second {
			clock.Advance(second)
		}
		fmt.Fprintf(&out, " for %v\n", left)
	}
	goldie.New(t).Assert(t, "merge", out.Bytes())
}

// TestDigest checks that the digest depends on the set of requests in quarantine alone, and
// that neither the digest nor the snapshots hold a quarantine that is about to end.
func TestDigest(t *testing.T) {
	clock := timer.NewManual(1)
	one := quarantiner.New(clock, &peers{}, logger.Discard())
	two := quarantiner.New(clock, &peers{}, logger.Discard())
	quarantine := func(q *quarantiner.Quarantiner, f quarantiner.Fingerprint) {
		q.RecordDeath(context.Background(), f, "t1")
		q.RecordDeath(context.Background(), f, "t2")
	}
	quarantine(one, "a")
	quarantine(one, "b")
	quarantine(two, "b")
	if one.Digest() == two.Digest() || two.Digest() == 0 {
		t.Errorf("the digests of a, b and of b are %x and %x", one.Digest(), two.Digest())
	}
	quarantine(two, "a")
	if one.Digest() != two.Digest() {
		t.Errorf("the digests of a, b and of b, a are %x and %x", one.Digest(), two.Digest())
	}
	clock.Advance(5*time.Minute - 9*time.Second)
	if one.Digest() != 0 || len(one.Snapshots()) != 0 || !one.Blocked("a") {
		t.Errorf("9 s before the end: digest %x, %d snapshots, blocked: %v; want 0, none, true", one.Digest(), len(one.Snapshots()), one.Blocked("a"))
	}
}

// TestMergeIntoFull checks that quarantines of other VMs replace suspects where no more are
// kept, and never the quarantines of this VM, as VMs would otherwise replace each other's
// without end.
func TestMergeIntoFull(t *testing.T) {
	const kept = 512
	clock := timer.NewManual(timer.Instant(time.Hour))
	q := quarantiner.New(clock, &peers{}, logger.Discard())
	for i := range kept - 1 {
		q.Apply(quarantiner.NewDeath(quarantiner.Fingerprint(fmt.Sprint(i)), "t1"))
		q.Apply(quarantiner.NewDeath(quarantiner.Fingerprint(fmt.Sprint(i)), "t2"))
	}
	q.Apply(quarantiner.NewDeath("suspect", "t1"))
	remote := func(f quarantiner.Fingerprint) {
		q.Merge([]quarantiner.Snapshot{quarantiner.NewSnapshot(f, quarantiner.NewCrash("t1", 2), quarantiner.NewCrash("t2", 1))})
	}
	remote("x")
	remote("y")
	if quarantined, suspects := q.Counts(); quarantined != kept || suspects != 0 || !q.Blocked("x") || q.Blocked("y") || !q.Blocked("0") {
		t.Errorf("%d quarantined, %d suspects, x: %v, y: %v, 0: %v; want %d, 0, true, false, true",
			quarantined, suspects, q.Blocked("x"), q.Blocked("y"), q.Blocked("0"), kept)
	}
}
