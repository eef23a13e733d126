package messenger_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/messenger"
	"github.com/lagoonkeel/lagoonkeel/internal/quarantiner"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// noBroadcast sends no marks.
type noBroadcast struct{}

func (noBroadcast) Broadcast(context.Context, quarantiner.Mark) {}

// TestExchangeQuarantines compares what two VMs that missed each other's marks have in
// quarantine after each exchange with the golden file.
func TestExchangeQuarantines(t *testing.T) {
	clock := timer.NewManual(timer.Instant(time.Hour))
	called := quarantiner.New(clock, noBroadcast{}, logger.Discard())
	caller := quarantiner.New(clock, noBroadcast{}, logger.Discard())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := messenger.NewServer(ln)
	if err := messenger.RegisterQuarantines(server.Mux(), called); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	defer func() {
		cancel()
		<-done
	}()
	pool := messenger.NewPool()
	defer pool.Close()
	client := messenger.NewQuarantineClient(pool, func() []member.VM { return nil })

	var out bytes.Buffer
	exchange := func(title string) {
		list, err := client.Exchange(ctx, ln.Addr().String(), caller.Digest(), nil)
		if err != nil {
			t.Fatal(err)
		}
		unknown := caller.Merge(list)
		if len(unknown) > 0 {
			if _, err := client.Exchange(ctx, ln.Addr().String(), caller.Digest(), unknown); err != nil {
				t.Fatal(err)
			}
		}
		fmt.Fprintf(&out, "%s: %d snapshots came and %d went back; refused there: a=%v b=%v, here: a=%v b=%v\n", title, len(list), len(unknown),
			called.Blocked("a"), called.Blocked("b"), caller.Blocked("a"), caller.Blocked("b"))
	}
	exchange("nothing is known")
	for _, target := range []string{"t1", "t2"} {
		called.Apply(quarantiner.NewDeath("a", target))
		clock.Advance(time.Second)
	}
	exchange("two crashes are known there")
	exchange("again")
	called.Apply(quarantiner.NewDeath("b", "t1"))
	caller.Apply(quarantiner.NewDeath("b", "t1"))
	caller.Apply(quarantiner.NewSurvival("b"))
	clock.Advance(time.Second)
	called.Apply(quarantiner.NewDeath("b", "t2"))
	exchange("there a response between two crashes was missed")
	exchange("again")
	goldie.New(t).Assert(t, "exchange_quarantines", out.Bytes())
}
