package pacer_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/pacer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// transcript asks a pacer and writes down its answers.
type transcript struct {
	out   bytes.Buffer
	pacer *pacer.Pacer
	vm    *simulatedVM
	now   timer.Instant
	rate  float64
}

func newTranscript() *transcript {
	x := &transcript{
		vm:   &simulatedVM{known: 1},
		now:  start,
		rate: 2,
	}
	x.pacer = pacer.New(pacer.Spec{
		Self:  "10.0.0.1:7000",
		Fleet: x.vm,
		Rate: func(service string) float64 {
			if service == "unpaced" {
				return 0
			}

			return x.rate
		},
	})

	return x
}

// advance lets time pass, with the periodic updates.
func (x *transcript) advance(d time.Duration) {
	for end := x.now.Add(d); x.now < end; {
		x.now = x.now.Add(min(time.Second, end.Sub(x.now)))
		x.pacer.Tick(x.now)
	}
}

// ask asks for a request to the target, and takes the token where there is one.
func (x *transcript) ask(title, service string, k estimator.Key) {
	may := x.pacer.MaySend(x.now, service, k)
	wait := x.pacer.Wait(x.now, service, k).Round(time.Millisecond)
	if may {
		x.pacer.Take(x.now, service, k)
	} else {
		x.pacer.Hold(x.now, service, k)
	}
	fmt.Fprintf(&x.out, "%s: may=%v wait=%v targets=%d\n", title, may, wait, x.pacer.Buckets())
}

// TestPacer compares the decisions of one pacer with the golden transcript. It guards
// against requests before the number of VMs is known, tokens that add up while there are no
// requests, a restarted target that inherits a token, and memory that is never freed.
func TestPacer(t *testing.T) {
	x := newTranscript()
	x.ask("the service declares no rate", "unpaced", 1)
	x.advance(10 * time.Second)
	x.ask("the list of the VMs has not been read", "s", 1)
	x.vm.read = true
	x.advance(time.Second)
	x.ask("the list has just been read", "s", 1)
	x.advance(3 * time.Second)
	x.ask("the number of VMs is known; the first request for the target", "s", 1)
	x.advance(500 * time.Millisecond)
	x.ask("a fleet of one VM, half a second later", "s", 1)
	x.ask("at once again", "s", 1)
	x.advance(500 * time.Millisecond)
	x.ask("half a second later", "s", 1)
	x.advance(30 * time.Second)
	x.ask("after 30 s without requests", "s", 1)
	x.ask("at once again", "s", 1)
	x.ask("the target has started again", "s", 2)
	x.vm.known = 41
	x.advance(500 * time.Millisecond)
	x.ask("40 more VMs are known", "s", 1)
	x.vm.known = 1
	x.advance(5 * time.Second)
	x.ask("the others are gone, which counts slowly", "s", 1)
	x.advance(59 * time.Second)
	x.ask("after a minute", "s", 1)
	x.advance(2 * time.Second)
	x.ask("the first start is forgotten", "s", 2)
	x.rate = 0
	x.advance(time.Second)
	x.ask("the rate was removed", "s", 2)
	x.pacer.Each(func(name string, c metrics.Counter) { fmt.Fprintf(&x.out, "%s %d\n", name, c.Count()) })
	goldie.New(t).Assert(t, "pacer", x.out.Bytes())
}

// TestLateTick guards against a token that counts twice because an update that was due
// earlier runs after a request: the goroutine that runs it may wait for the lock.
func TestLateTick(t *testing.T) {
	const (
		target = estimator.Key(1)
		late   = 900 * time.Millisecond
	)
	x := newTranscript()
	x.vm.read = true
	x.advance(10 * time.Second)
	x.pacer.Hold(x.now, "s", target)
	x.advance(time.Second)
	if !x.pacer.MaySend(x.now, "s", target) {
		t.Fatal("there is no token after a second at a rate of 2")
	}
	x.pacer.Take(x.now, "s", target)
	x.pacer.Tick(x.now.Add(-late))
	if x.pacer.MaySend(x.now.Add(time.Millisecond), "s", target) {
		t.Error("there is a token 1 ms after the last one at a rate of 2")
	}
	if !x.pacer.MaySend(x.now.Add(500*time.Millisecond), "s", target) {
		t.Error("there is no token half a second after the last one at a rate of 2")
	}
}
