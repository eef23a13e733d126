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

// list is a platform list that the test changes.
type list struct{ vms []lister.VM }

func (l *list) Platform() []lister.VM { return l.vms }

func upstream(address string, leaving bool) lister.VM {
	return lister.NewVM(address, lister.RoleUpstream, address, "kandy", leaving)
}

// TestDrainer compares which targets are leaving with the golden file: by the
// list, by their own word, by a peer, and when each of these ends.
func TestDrainer(t *testing.T) {
	const a, b, c, e = "10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"
	l := &list{}
	clock := timer.NewManual(0)
	d := drainer.New(l, clock, logger.Discard())
	var out strings.Builder
	look := func(after time.Duration, what string) {
		clock.Advance(after)
		d.Step(clock.Now())
		fmt.Fprintf(&out, "%v %s:", time.Duration(clock.Now()), what)
		for _, address := range []string{a, b, c, e} {
			if d.Leaving(address) {
				out.WriteString(" " + address)
			}
		}
		fmt.Fprintf(&out, "; told to peers: %d\n", len(d.Draining(clock.Now())))
	}
	l.vms = []lister.VM{upstream(a, false), upstream(b, false), lister.NewVM("vm-1", lister.RoleEntry, e, "kandy", true)}
	look(time.Second, "an entry VM is leaving")
	l.vms = []lister.VM{upstream(a, true), upstream(b, false)}
	look(time.Second, "the list shows the first as leaving")
	d.Note(clock.Now(), b)
	look(250*time.Millisecond, "the second says so itself")
	d.Merge(clock.Now(), []ejector.Draining{ejector.NewDraining(c, 28*time.Second), ejector.NewDraining(e, time.Hour)})
	look(250*time.Millisecond, "a peer heard the third long ago")
	look(2*time.Second, "the peer's word is old")
	d.Merge(clock.Now(), []ejector.Draining{ejector.NewDraining(b, 20*time.Second)})
	l.vms = nil
	look(time.Second, "the list shows nobody")
	look(27*time.Second, "the second's word is old")
	l.vms = []lister.VM{upstream(a, false)}
	look(time.Second, "the first is back on the list")
	l.vms = []lister.VM{upstream(a, true)}
	look(time.Second, "the first is leaving again")
	l.vms = nil
	look(10*time.Minute, "the first vanished long ago")
	goldie.New(t).Assert(t, "drainer", []byte(out.String()))
}
