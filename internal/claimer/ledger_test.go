package claimer_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/claimer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

func claim(id, key, fingerprint string) claimer.Claim {
	return claimer.NewClaim(claimer.Spec{
		ID:          claimer.ID(id),
		Team:        "guides",
		Key:         key,
		Fingerprint: fingerprint,
		Sender:      "vm-1",
	})
}

// TestLedger compares the decisions on a sequence of claims with the golden file.
func TestLedger(t *testing.T) {
	var out bytes.Buffer
	l := claimer.NewLedger()
	now := timer.Instant(0)
	reserve := func(title, id, key, fingerprint string) {
		d := l.Reserve(now, claim(id, key, fingerprint))
		fmt.Fprintf(&out, "%v %s: claim %s of %s as %s: %v durable=%v answer=%v\n",
			time.Duration(now), title, id, key, fingerprint, d.Verdict(), d.Durable(), d.Answer() != nil)
	}
	reserve("a new key", "c1", "k1", "f1")
	reserve("the same claim again", "c1", "k1", "f1")
	reserve("a repeat", "c2", "k1", "f1")
	reserve("another request", "c3", "k1", "f2")
	l.Apply(now, 7, claimer.NewBatch([]claimer.Claim{claim("c1", "k1", "f1")}, nil))
	reserve("the same claim after it was read from the log", "c1", "k1", "f1")
	l.Settle(now, claimer.NewAnswerSettlement(claim("c1", "k1", "f1"), handler.NewResponse(201, []byte("seat 4"))))
	reserve("a repeat after the answer", "c4", "k1", "f1")
	reserve("another request after the answer", "c5", "k1", "f2")
	now = now.Add(61 * time.Minute)
	reserve("a repeat after the answer's retention", "c6", "k1", "f1")

	reserve("a key to be released", "d1", "k2", "f1")
	l.Settle(now, claimer.NewReleaseSettlement(claim("d0", "k2", "f1")))
	reserve("a repeat after another claim's release", "d2", "k2", "f1")
	l.Settle(now, claimer.NewReleaseSettlement(claim("d1", "k2", "f1")))
	reserve("the released claim again", "d1", "k2", "f1")
	reserve("a repeat after the release", "d3", "k2", "f1")
	l.Apply(now, 8, claimer.NewBatch([]claimer.Claim{claim("d1", "k2", "f1")}, nil))
	reserve("a repeat after the released claim was read from the log", "d4", "k2", "f1")

	l.AddUnlogged(now, claim("e1", "k3", "f1"))
	l.AddUnlogged(now, claim("e2", "k3", "f1"))
	l.Settle(now, claimer.NewReleaseSettlement(claim("e1", "k3", "f1")))
	reserve("a repeat after one of two claims was released", "e3", "k3", "f1")
	l.Settle(now, claimer.NewReleaseSettlement(claim("e2", "k3", "f1")))
	reserve("a repeat after both were released", "e4", "k3", "f1")

	l.Apply(now, 9, claimer.NewBatch(nil, []claimer.Claim{claim("g1", "k4", "f1")}))
	l.AddUnlogged(now, claim("g1", "k4", "f1"))
	reserve("a repeat after the release was read before the claim", "g2", "k4", "f1")

	big := handler.NewResponse(200, make([]byte, 33<<10))
	reserve("a key with an answer above the size limit", "h1", "k5", "f1")
	l.Settle(now, claimer.NewAnswerSettlement(claim("h1", "k5", "f1"), big))
	reserve("a repeat of the request with that answer", "h2", "k5", "f1")

	r := claim("", "k3", "").Range()
	fmt.Fprintf(&out, "recall from 0: %d, from 100: %d, not logged: %d\n",
		len(l.Recall(claim("", "k1", "").Range(), 0)), len(l.Recall(claim("", "k1", "").Range(), 100)), len(l.Recall(r, 100)))
	fmt.Fprintf(&out, "unlogged: %d\n", len(l.Unlogged(now.Add(time.Second), 100)))
	now = now.Add(25 * time.Hour)
	reserve("a repeat after the claim's retention", "c7", "k1", "f1")
	fmt.Fprintf(&out, "stored: %d\n", l.Len())
	goldie.New(t).Assert(t, "ledger", out.Bytes())
}
