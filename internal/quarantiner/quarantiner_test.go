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

// others stands for the other VMs.
type others struct {
	list []*quarantiner.Quarantiner
}

func (o *others) Spread(_ context.Context, m quarantiner.Mark) {
	for _, q := range o.list {
		q.Apply(m)
	}
}

// TestQuarantine compares the states of requests after marks with the golden
// transcript. Two VMs see the marks of each other.
func TestQuarantine(t *testing.T) {
	var out bytes.Buffer
	clock := timer.NewManual(1)
	toOne, toTwo := &others{}, &others{}
	one := quarantiner.New(clock, toTwo, logger.Discard())
	two := quarantiner.New(clock, toOne, logger.Discard())
	toOne.list = []*quarantiner.Quarantiner{one}
	toTwo.list = []*quarantiner.Quarantiner{two}
	ctx := context.Background()
	show := func(what string, f quarantiner.Fingerprint) {
		fmt.Fprintf(&out, "%v %s: %s blocked=%v/%v empty=%v\n", time.Duration(clock.Now()-1), what, f, one.Blocked(f), two.Blocked(f), one.Empty())
	}
	show("at the start", "a")
	one.Died(ctx, "a", "t1")
	show("a target ended", "a")
	two.Died(ctx, "a", "t1")
	show("another VM reports the same death", "a")
	clock.Advance(3 * time.Second)
	two.Died(ctx, "a", "t2")
	show("a second target ended", "a")
	show("another request", "b")
	one.Survived(ctx, "a")
	show("an answer that comes late", "a")
	clock.Advance(5 * time.Minute)
	show("after the quarantine", "a")

	one.Died(ctx, "b", "t1")
	two.Survived(ctx, "b")
	show("a bystander got an answer elsewhere", "b")
	one.Died(ctx, "b", "t2")
	show("and is near another death", "b")
	clock.Advance(11 * time.Minute)
	two.Died(ctx, "b", "t3")
	show("a death long after", "b")
	clock.Advance(3 * time.Second)
	one.Died(ctx, "b", "t3")
	show("the same target ends once more", "b")
	for i := range 600 {
		one.Died(ctx, quarantiner.Fingerprint(fmt.Sprint(i)), "t")
	}
	show("after 600 other suspects", "b")
	goldie.New(t).Assert(t, "quarantine", out.Bytes())
}
