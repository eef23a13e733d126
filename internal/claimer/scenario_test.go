package claimer_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

// scenario is a sequence of faults and claims in a fleet of four VMs, of which
// vm-0 is the holder at the start.
type scenario struct {
	name  string
	steps func(f *fleet, say func(format string, args ...any))
}

func scenarios() []scenario {
	return append(logScenarios(), outageScenarios()...)
}

func logScenarios() []scenario {
	return []scenario{
		{"log up", func(f *fleet, say func(string, ...any)) {
			c, got := f.ask(1, "k")
			say("vm-1: %s", got)
			_, got = f.ask(2, "k")
			say("vm-2 repeats: %s", got)
			f.nodes[1].sender.Settle(context.Background(), c, false, handler.NewResponse(201, []byte("seat")))
			_, got = f.ask(3, "k")
			say("vm-3 repeats after the answer: %s", got)
		}},
		{"the request did not run", func(f *fleet, say func(string, ...any)) {
			c, got := f.ask(1, "k")
			say("vm-1: %s", got)
			f.nodes[1].sender.Settle(context.Background(), c, true, nil)
			_, got = f.ask(2, "k")
			say("vm-2 repeats: %s", got)
			_, got = f.ask(1, "k")
			say("vm-1 repeats: %s", got)
		}},
		{"the log's answers are lost after the write", func(f *fleet, say func(string, ...any)) {
			f.log.set(func() { f.log.lose = 3 })
			for i := range 3 {
				_, got := f.askFor(1, fmt.Sprint("k", i), 5*time.Second)
				say("vm-1: %s", got)
			}
			say("records: %d", f.log.count())
		}},
		{"the log's answers are lost before the write", func(f *fleet, say func(string, ...any)) {
			f.log.set(func() { f.log.refuse = 3 })
			_, got := f.askFor(1, "k", 5*time.Second)
			say("vm-1: %s", got)
			say("records: %d", f.log.count())
		}},
		{"the holder is lost while the log is up", func(f *fleet, say func(string, ...any)) {
			f.see()
			_, got := f.ask(1, "k")
			say("vm-1: %s", got)
			f.loseHolder()
			_, got = f.ask(3, "k")
			say("vm-3 repeats at the new holder: %s", got)
		}},
		{"holder and sender are lost while the log is up", func(f *fleet, say func(string, ...any)) {
			_, got := f.ask(1, "k")
			say("vm-1: %s", got)
			f.nodes[1].dead.Store(true)
			f.loseHolder()
			_, got = f.ask(3, "k")
			say("vm-3 repeats at once: %s", got)
			f.clock.ahead.Add(int64(time.Minute))
			_, got = f.ask(3, "k")
			say("vm-3 repeats when the log has been up for a minute: %s", got)
		}},
		{"the lease lapses while the claim is written", func(f *fleet, say func(string, ...any)) {
			f.log.set(func() {
				f.log.onAppend = func() {
					f.log.onAppend = nil
					f.hold(2)
				}
			})
			_, got := f.askFor(1, "k", 3*time.Second)
			say("vm-1: %s", got)
			_, got = f.ask(3, "k")
			say("vm-3 repeats: %s", got)
		}},
	}
}

func outageScenarios() []scenario {
	return []scenario{
		{"the log is down and the holder is lost", func(f *fleet, say func(string, ...any)) {
			f.see()
			f.logDown(true)
			_, got := f.ask(1, "k")
			say("vm-1: %s", got)
			f.loseHolder()
			_, got = f.ask(3, "k")
			say("vm-3 repeats at the new holder: %s", got)
			_, got = f.ask(3, "other")
			say("vm-3 with a new key: %s", got)
		}},
		{"the log is down and holder and sender are lost", func(f *fleet, say func(string, ...any)) {
			f.see()
			f.logDown(true)
			_, got := f.ask(1, "k")
			say("vm-1: %s", got)
			f.nodes[1].dead.Store(true)
			f.loseHolder()
			_, got = f.ask(3, "k")
			say("vm-3 repeats at the new holder: %s", got)
		}},
		{"the log is down and the holder, who also sent, is lost", func(f *fleet, say func(string, ...any)) {
			f.see()
			f.logDown(true)
			_, got := f.ask(0, "k")
			say("vm-0: %s", got)
			f.loseHolder()
			_, got = f.ask(3, "k")
			say("vm-3 repeats at the new holder: %s", got)
		}},
		{"the log is down and the holder is alone", func(f *fleet, say func(string, ...any)) {
			_, got := f.ask(0, "before")
			say("vm-0 while all is well: %s", got)
			f.logDown(true)
			for _, n := range f.nodes[1:] {
				n.dead.Store(true)
			}
			_, got = f.ask(0, "k")
			say("vm-0 alone: %s", got)
		}},
		{"the log is down and a fresh VM is made the holder", func(f *fleet, say func(string, ...any)) {
			f.see()
			_, got := f.ask(1, "before")
			say("vm-1 while the log is up: %s", got)
			f.logDown(true)
			_, got = f.ask(1, "k")
			say("vm-1: %s", got)
			f.add()
			f.hold(4)
			_, got = f.ask(3, "before")
			say("vm-3 repeats the first at the fresh holder: %s", got)
			_, got = f.ask(3, "k")
			say("vm-3 repeats the second: %s", got)
		}},
		{"the log is down and two VMs are replaced", func(f *fleet, say func(string, ...any)) {
			f.see()
			f.logDown(true)
			_, got := f.ask(1, "k")
			say("vm-1: %s", got)
			f.replace(0)
			f.replace(1)
			f.hold(2)
			_, got = f.ask(3, "k")
			say("vm-3 repeats at the new holder: %s", got)
		}},
		{"a fleet starts while the log is down", func(f *fleet, say func(string, ...any)) {
			f.logDown(true)
			for i := range f.nodes {
				f.replace(i)
			}
			f.hold(0)
			_, got := f.ask(3, "k")
			say("vm-3: %s", got)
		}},
		{"the log comes back after both are lost", func(f *fleet, say func(string, ...any)) {
			f.logDown(true)
			_, got := f.ask(1, "k")
			say("vm-1: %s", got)
			f.logDown(false)
			f.waitFor("the claim is in the log", func() bool { return f.log.count() > 0 })
			f.nodes[1].dead.Store(true)
			f.loseHolder()
			f.clock.ahead.Add(int64(time.Minute))
			_, got = f.ask(3, "k")
			say("vm-3 repeats: %s", got)
		}},
		{"a claim is asked for while the holder changes", func(f *fleet, say func(string, ...any)) {
			f.logDown(true)
			f.nodes[0].slow.Store(true)
			var got string
			done := make(chan struct{})
			go func() {
				_, got = f.askFor(1, "k", 3*time.Second)
				close(done)
			}()
			f.waitFor("the old holder has granted", func() bool { return f.nodes[0].held.Load() > 0 })
			f.hold(2)
			_, repeat := f.ask(3, "k")
			say("vm-3 at the new holder: %s", repeat)
			f.nodes[0].slow.Store(false)
			<-done
			say("vm-1, whose grant was late: %s", got)
		}},
	}
}

// TestFleet compares what a fleet decides under faults with the golden
// transcript. Each line names the VM that asks and tells the decision.
func TestFleet(t *testing.T) {
	list := scenarios()
	texts := make([]bytes.Buffer, len(list))
	t.Run("all", func(t *testing.T) {
		for i, s := range list {
			t.Run(s.name, func(t *testing.T) {
				t.Parallel()
				out := &texts[i]
				fmt.Fprintln(out, s.name)
				s.steps(newFleet(t, 4), func(format string, args ...any) { fmt.Fprintf(out, "  "+format+"\n", args...) })
			})
		}
	})
	var out bytes.Buffer
	for i := range texts {
		out.Write(texts[i].Bytes())
	}
	goldie.New(t).Assert(t, "fleet", out.Bytes())
}
