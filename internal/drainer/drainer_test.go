package drainer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/drainer"
	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
	"github.com/lagoonkeel/lagoonkeel/internal/lister"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// platformList is the platform's VM list, which the test changes.
type platformList struct{ vms []lister.VM }

func (l *platformList) PlatformVMs() []lister.VM { return l.vms }

func upstream(address string, leaving bool) lister.VM {
	return lister.NewVM(address, lister.RoleUpstream, address, "kandy", leaving)
}

// TestDrainer compares the leaving targets with the golden file: by the list, by a
// signal received here or by a peer, and after the end of each.
func TestDrainer(t *testing.T) {
	const first, second, third, fourth = "10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"
	l := &platformList{}
	clock := timer.NewManual(0)
	d := drainer.New(l, clock, logger.Discard())
	var out strings.Builder
	step := func(after time.Duration, title string) {
		clock.Advance(after)
		d.Step(clock.Now())
		fmt.Fprintf(&out, "%v %s:", time.Duration(clock.Now()), title)
		for _, address := range []string{first, second, third, fourth} {
			if d.Leaving(address) {
				out.WriteString(" " + address)
			}
		}
		fmt.Fprintf(&out, "; signals for peers: %d\n", len(d.Draining(clock.Now())))
	}
	l.vms = []lister.VM{upstream(first, false), upstream(second, false), lister.NewVM("vm-1", lister.RoleEntry, fourth, "kandy", true)}
	step(time.Second, "an entry VM is leaving")
	l.vms = []lister.VM{upstream(first, true), upstream(second, false)}
	step(time.Second, "the first target is listed as leaving")
	d.NoteDraining(clock.Now(), second)
	step(250*time.Millisecond, "the second target sent a draining signal")
	d.Merge(clock.Now(), []ejector.Draining{ejector.NewDraining(third, 28*time.Second), ejector.NewDraining(fourth, time.Hour)})
	step(250*time.Millisecond, "a peer received a signal of the third target 28 s ago, of the fourth 1 h ago")
	step(2*time.Second, "the third target's signal has expired")
	d.Merge(clock.Now(), []ejector.Draining{ejector.NewDraining(second, 20*time.Second)})
	l.vms = nil
	step(time.Second, "the list is empty")
	step(27*time.Second, "the second target's signal has expired")
	l.vms = []lister.VM{upstream(first, false)}
	step(time.Second, "the first target is listed again, not as leaving")
	l.vms = []lister.VM{upstream(first, true)}
	step(time.Second, "the first target is listed as leaving again")
	l.vms = nil
	step(10*time.Minute, "the first target has not been listed for 10 minutes")
	goldie.New(t).Assert(t, "drainer", []byte(out.String()))
}
