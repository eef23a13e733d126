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

// scenario is a sequence of faults and claims in a fleet of four VMs. vm-0 is the
// first holder.
type scenario struct {
	name  string
	steps func(f *fleet, logf func(format string, args ...any))
}

func scenarios() []scenario {
	return append(logScenarios(), outageScenarios()...)
}

func logScenarios() []scenario {
	return []scenario{
		{"log up", func(f *fleet, logf func(string, ...any)) {
			c, got := f.begin(1, "k")
			logf("vm-1: %s", got)
			_, got = f.begin(2, "k")
			logf("vm-2 repeats: %s", got)
			f.vms[1].client.Settle(context.Background(), c, false, handler.NewResponse(201, []byte("seat")))
			_, got = f.begin(3, "k")
			logf("vm-3 repeats after the answer: %s", got)
		}},
		{"the request did not run", func(f *fleet, logf func(string, ...any)) {
			c, got := f.begin(1, "k")
			logf("vm-1: %s", got)
			f.vms[1].client.Settle(context.Background(), c, true, nil)
			_, got = f.begin(2, "k")
			logf("vm-2 repeats: %s", got)
			_, got = f.begin(1, "k")
			logf("vm-1 repeats: %s", got)
		}},
		{"replies of the log are lost after the write", func(f *fleet, logf func(string, ...any)) {
			f.log.update(func() { f.log.loseReplies = 3 })
			for i := range 3 {
				_, got := f.beginFor(1, fmt.Sprint("k", i), 5*time.Second)
				logf("vm-1: %s", got)
			}
			logf("records: %d", f.log.count())
		}},
		{"calls to the log are lost before the write", func(f *fleet, logf func(string, ...any)) {
			f.log.update(func() { f.log.loseCalls = 3 })
			_, got := f.beginFor(1, "k", 5*time.Second)
			logf("vm-1: %s", got)
			logf("records: %d", f.log.count())
		}},
		{"the holder fails while the log is up", func(f *fleet, logf func(string, ...any)) {
			f.waitForHolderCheck()
			_, got := f.begin(1, "k")
			logf("vm-1: %s", got)
			f.failFirstVM()
			_, got = f.begin(3, "k")
			logf("vm-3 repeats at the new holder: %s", got)
		}},
		{"holder and sender fail while the log is up", func(f *fleet, logf func(string, ...any)) {
			_, got := f.begin(1, "k")
			logf("vm-1: %s", got)
			f.vms[1].dead.Store(true)
			f.failFirstVM()
			_, got = f.begin(3, "k")
			logf("vm-3 repeats before the log has been up for 5 s: %s", got)
			f.clock.offset.Add(int64(time.Minute))
			_, got = f.begin(3, "k")
			logf("vm-3 repeats after the log has been up for a minute: %s", got)
		}},
		{"the lease expires while the claim is written", func(f *fleet, logf func(string, ...any)) {
			f.log.update(func() {
				f.log.afterAppend = func() {
					f.log.afterAppend = nil
					f.setHolder(2)
				}
			})
			_, got := f.beginFor(1, "k", 3*time.Second)
			logf("vm-1: %s", got)
			_, got = f.begin(3, "k")
			logf("vm-3 repeats: %s", got)
		}},
	}
}

func outageScenarios() []scenario {
	return []scenario{
		{"the log is down and the holder fails", func(f *fleet, logf func(string, ...any)) {
			f.waitForHolderCheck()
			f.setLogDown(true)
			_, got := f.begin(1, "k")
			logf("vm-1: %s", got)
			f.failFirstVM()
			_, got = f.begin(3, "k")
			logf("vm-3 repeats at the new holder: %s", got)
			_, got = f.begin(3, "other")
			logf("vm-3 with a new key: %s", got)
		}},
		{"the log is down and holder and sender fail", func(f *fleet, logf func(string, ...any)) {
			f.waitForHolderCheck()
			f.setLogDown(true)
			_, got := f.begin(1, "k")
			logf("vm-1: %s", got)
			f.vms[1].dead.Store(true)
			f.failFirstVM()
			_, got = f.begin(3, "k")
			logf("vm-3 repeats at the new holder: %s", got)
		}},
		{"the log is down and the holder, which is also the sender, fails", func(f *fleet, logf func(string, ...any)) {
			f.waitForHolderCheck()
			f.setLogDown(true)
			_, got := f.begin(0, "k")
			logf("vm-0: %s", got)
			f.failFirstVM()
			_, got = f.begin(3, "k")
			logf("vm-3 repeats at the new holder: %s", got)
		}},
		{"the log is down and all peers of the holder have failed", func(f *fleet, logf func(string, ...any)) {
			_, got := f.begin(0, "before")
			logf("vm-0 while the log is up: %s", got)
			f.setLogDown(true)
			for _, n := range f.vms[1:] {
				n.dead.Store(true)
			}
			_, got = f.begin(0, "k")
			logf("vm-0 after all peers have failed: %s", got)
		}},
		{"the log is down and a new VM becomes the holder", func(f *fleet, logf func(string, ...any)) {
			f.waitForHolderCheck()
			_, got := f.begin(1, "before")
			logf("vm-1 while the log is up: %s", got)
			f.setLogDown(true)
			_, got = f.begin(1, "k")
			logf("vm-1: %s", got)
			f.add()
			f.setHolder(4)
			_, got = f.begin(3, "before")
			logf("vm-3 repeats the first claim at the new holder: %s", got)
			_, got = f.begin(3, "k")
			logf("vm-3 repeats the second claim: %s", got)
		}},
		{"the log is down and two VMs restart with empty memory", func(f *fleet, logf func(string, ...any)) {
			f.waitForHolderCheck()
			f.setLogDown(true)
			_, got := f.begin(1, "k")
			logf("vm-1: %s", got)
			f.start(0)
			f.start(1)
			f.setHolder(2)
			_, got = f.begin(3, "k")
			logf("vm-3 repeats at the new holder: %s", got)
		}},
		{"all VMs restart with empty memory while the log is down", func(f *fleet, logf func(string, ...any)) {
			f.setLogDown(true)
			for i := range f.vms {
				f.start(i)
			}
			f.setHolder(0)
			_, got := f.begin(3, "k")
			logf("vm-3: %s", got)
		}},
		{"holder and sender fail after the log has come back", func(f *fleet, logf func(string, ...any)) {
			f.setLogDown(true)
			_, got := f.begin(1, "k")
			logf("vm-1: %s", got)
			f.setLogDown(false)
			f.waitFor("the claim to be in the log", func() bool { return f.log.count() > 0 })
			f.vms[1].dead.Store(true)
			f.failFirstVM()
			f.clock.offset.Add(int64(time.Minute))
			_, got = f.begin(3, "k")
			logf("vm-3 repeats: %s", got)
		}},
		{"the holder changes while a claim is requested", func(f *fleet, logf func(string, ...any)) {
			f.setLogDown(true)
			f.vms[0].delayReplies.Store(true)
			var got string
			done := make(chan struct{})
			go func() {
				_, got = f.beginFor(1, "k", 3*time.Second)
				close(done)
			}()
			f.waitFor("the old holder to grant the claim", func() bool { return f.vms[0].replyDelayTicks.Load() > 0 })
			f.setHolder(2)
			_, repeat := f.begin(3, "k")
			logf("vm-3 at the new holder: %s", repeat)
			f.vms[0].delayReplies.Store(false)
			<-done
			logf("vm-1, whose grant was delayed: %s", got)
		}},
	}
}

// TestFleet compares the decisions of a fleet under faults with the golden file.
// Each line names the VM that requests a claim and the decision.
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
