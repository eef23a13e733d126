package registrar_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// decodeInZone decodes an entry of the form "service dataCentre".
func decodeInZone(id string, value []byte) (*registrar.Entry, error) {
	service, dataCentre, _ := strings.Cut(string(value), " ")

	return registrar.NewEntry(registrar.EntrySpec{
		Target: manifester.TargetSpec{
			Name:       id,
			Address:    "10.0.0.1:80",
			DataCentre: dataCentre,
			Slots:      4,
		},
		Service: service,
	}), nil
}

// TestEvacuation compares the members of each service during evacuations with the golden
// transcript. It guards against a target of an evacuated data centre that an update of the
// list puts back, and against one that counts as warm at once after its return.
func TestEvacuation(t *testing.T) {
	var out bytes.Buffer
	r := registrar.New(decodeInZone, logger.Discard())
	now := timer.Instant(time.Hour)
	show := func(title string) {
		fmt.Fprintf(&out, "%s: listed=%d evacuated=%d\n", title, r.Size(), r.EvacuatedCount())
		for _, service := range []string{"bookings", "maps"} {
			fmt.Fprintf(&out, "  %s: evacuated=%v", service, r.Evacuated(service))
			for _, m := range r.Members(service) {
				fmt.Fprintf(&out, " %s(returned=%v warmingUp=%v)", m.Target().Name(), m.Returned(now), m.WarmingUp(now))
			}
			fmt.Fprintln(&out)
		}
	}
	entry := func(id, value string) subscriber.Record { return subscriber.NewRecord(id, []byte(value), 1) }
	list := []subscriber.Record{
		entry("a", "bookings north"), entry("b", "bookings south"), entry("c", "bookings west"),
		entry("d", "maps north"), entry("e", "maps north"),
	}
	r.Evacuate(now, []string{"west"}, nil)
	r.Replace(now, list)
	show("the list is read during an evacuation")
	r.Evacuate(now, []string{"north", "west"}, nil)
	show("a second evacuation, which leaves a service without a target")
	r.Update(now, []subscriber.Record{entry("a", "bookings north"), entry("f", "bookings north")})
	show("a target writes its entry again, and a new one is listed")
	r.MarkLeaving(now, r.Members("bookings")[0].Key())
	show("the last other target leaves")
	r.Replace(now, list)
	show("the list is loaded again")
	r.Evacuate(now, []string{"west"}, []string{"north"})
	show("the second one ended")
	now = now.Add(1500 * time.Millisecond)
	r.Update(now, []subscriber.Record{entry("a", "bookings north")})
	show("1.5 s later, a target writes its entry again")
	now = now.Add(time.Second)
	r.Forget(now)
	r.Update(now, []subscriber.Record{entry("d", "maps north")})
	show("2.5 s after its end")
	r.Evacuate(now, []string{}, []string{"south", "west"})
	show("the first one ended, and one of which this VM did not know")
	r.Evacuate(now, []string{"west"}, nil)
	show("evacuated again")
	goldie.New(t).Assert(t, "evacuation", out.Bytes())
}
