package standin

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// quick is the work of most requests.
const quick = 20 * time.Millisecond

const (
	firstVersion = 7
	// hostelsKeys and noKeys are lists of keys of the tenant hostels.
	hostelsKeys = `["` + hostelsKey + `"]`
	noKeys      = "[]"
)

// The bounds of the site.
const (
	stableWindow = 3 * time.Second
	configApply  = 2 * time.Second
)

var errAllWait = errors.New("every VM waits for changes of the configuration")

// startFleet starts targets of both services and VMs.
func (e *environment) startFleet(vms int, notes workFunc) error {
	e.configure(configText(firstVersion, hostelsKeys, 0))
	if err := e.addTargets("bookings", 3, takes(quick)); err != nil {
		return err
	}
	if err := e.addTargets("fieldbook", 3, notes); err != nil {
		return err
	}

	return e.startVMs(vms)
}

// oddEntry plays an entry of another writer in the list of targets, with most fields
// missing. Such an entry names no target to use. It is broken if a booking runs at a
// target of another service.
func oddEntry(e *environment) (bool, error) {
	const (
		bookings = 200
		pause    = 6 * time.Millisecond
		// learnTime is more than the VMs need to read the entry.
		learnTime = 100 * time.Millisecond
	)
	if err := e.startFleet(3, takes(quick)); err != nil {
		return false, err
	}
	var odd *target
	for _, t := range e.targets {
		if t.service == "fieldbook" {
			odd = t
		}
	}
	<-odd.beats // The target writes its own entry again only after an interval.
	if e.trouble {
		entry := fmt.Sprintf(`{"address":%q,"info":{"service":"bookings","zone":"kandy","slots":%d},"status":{"state":"ready"}}`, odd.address(), targetSlots)
		e.record.logf("another writer leaves servers/%s = %s", odd.id, entry)
		e.store.put(targetsTopic, odd.id, []byte(entry))
	}
	time.Sleep(learnTime)
	var wg sync.WaitGroup
	for i := range bookings {
		wg.Add(1)
		go func() {
			defer wg.Done()
			e.ask(e.vms[i%len(e.vms)], request{
				method: "POST",
				path:   "/seats/4",
				id:     fmt.Sprintf("booking-%d", i),
				body:   "two seats",
			})
		}()
		time.Sleep(pause)
	}
	wg.Wait()
	wrong := 0
	for _, a := range e.runs() {
		if a.service != "bookings" {
			wrong++
		}
	}
	e.record.logf("%d of %d bookings ran at a target of fieldbook", wrong, bookings)

	return wrong > 0, nil
}

// listedField plays consumers whose Connection field lists the field that tells a target
// the tenant. It is broken if a target runs a request without the tenant of its key.
func listedField(e *environment) (bool, error) {
	const requests = 20
	if err := e.startFleet(2, takes(quick)); err != nil {
		return false, err
	}
	field := "Connection: keep-alive"
	if e.trouble {
		field += ", X-Lagoonkeel-Tenant-Id"
	}
	for i := range requests {
		e.ask(e.vms[i%len(e.vms)], request{
			method: "POST",
			path:   "/seats/4",
			id:     fmt.Sprintf("booking-%d", i),
			field:  field,
			body:   "two seats",
		})
	}
	wrong := 0
	for _, a := range e.runs() {
		if strings.Join(a.tenants, ",") != "guides" {
			wrong++
		}
	}
	e.record.logf("%d of %d requests ran without the tenant of their key", wrong, requests)

	return wrong > 0, nil
}

// slowNote is the path of a lookup that takes long.
const slowNote = "/notes/slow"

// notesWork returns the work of lookups of which those at slowNote take the given time.
func notesWork(slow time.Duration) workFunc {
	return func(a *arrival) time.Duration {
		if a.uri == slowNote {
			return slow
		}

		return quick
	}
}

// withheldAnswer plays a planned stop of a VM while a lookup takes longer than the grace
// time, behind a request whose target answered at once. It is broken if that request gets
// no answer.
func withheldAnswer(e *environment) (bool, error) {
	const (
		slow    = 8 * time.Second
		runTime = time.Second
	)
	if err := e.startFleet(1, notesWork(slow)); err != nil {
		return false, err
	}
	c, err := e.connect(e.vms[0])
	if err != nil {
		return false, err
	}
	defer c.close()
	first := request{
		method: "PUT",
		path:   "/notes/list",
		id:     "quick",
		body:   "which caps are safe",
	}
	second := request{
		method: "GET",
		path:   slowNote,
		id:     "slow",
	}
	if err := c.send(first.text(), second.text()); err != nil {
		return false, err
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if e.trouble {
			time.Sleep(runTime)
			e.vms[0].stop(e.record)
		}
	}()
	status := c.receive(first.id)
	if status != 0 {
		c.receive(second.id)
	}
	<-stopped

	return status == 0, nil
}

// lostPoll plays a store that answers no call for a moment, which begins with a call that
// waits for changes. It is broken if a key still opens a route later than configApplyMs
// after it was taken away, although the store has been sound for stableWindowMs before.
func lostPoll(e *environment) (bool, error) {
	const (
		silence = 300 * time.Millisecond
		// longWait is the least wait of the call that the silence hits.
		longWait = 5200 * time.Millisecond
		// watchTime is how long the key is tried, and watchPause the time between tries.
		watchTime  = 3 * time.Second
		watchPause = 50 * time.Millisecond
		// findTime bounds the wait for that call.
		findTime = 80 * time.Second
		margin   = 50 * time.Millisecond
	)
	if err := e.startFleet(1, takes(quick)); err != nil {
		return false, err
	}
	found := make(chan struct{}, 1)
	e.store.mu.Lock()
	e.store.polling = func(topic string, wait time.Duration) {
		if topic == configTopic && wait >= longWait {
			select {
			case found <- struct{}{}:
			default:
			}
		}
	}
	e.store.mu.Unlock()
	select {
	case <-found:
	case <-time.After(findTime):
		return false, fmt.Errorf("no call waited for %v", longWait)
	}
	if e.trouble {
		e.record.logf("the store answers no call for %v", silence)
		e.store.silence(silence)
	}
	time.Sleep(silence + stableWindow + margin)
	e.configure(configText(firstVersion+1, noKeys, 0))
	acknowledged := time.Now()
	time.Sleep(configApply)
	late := 0
	for i := 0; time.Since(acknowledged) < configApply+watchTime; i++ {
		if e.ask(e.vms[0], request{
			method: "GET",
			path:   "/notes/list",
			id:     fmt.Sprintf("late-%d", i),
			key:    hostelsKey,
		}) == http.StatusOK {
			late++
		}
		time.Sleep(watchPause)
	}
	e.record.logf("%d requests with the key that was taken away were served", late)

	return late > 0, nil
}

// farBehind plays a store that turns one VM away for a while, in which a configuration with
// many routes changes quickly. It is broken if a key that was taken away then still opens a
// route at that VM, although the store has been sound for stableWindowMs.
func farBehind(e *environment) (bool, error) {
	const (
		// linkRate is 10 Mbit a second.
		linkRate = 10e6 / 8
		// turnedAway is how long the VM is turned away; the changes begin after lead.
		turnedAway = 9 * time.Second
		lead       = 2 * time.Second
		changes    = 12
		gap        = 330 * time.Millisecond
		routes     = 350
		tries      = 20
		pause      = 250 * time.Millisecond
	)
	e.linkRate = linkRate
	if err := e.startFleet(6, takes(quick)); err != nil {
		return false, err
	}
	e.configure(configText(firstVersion+1, hostelsKeys, routes))
	time.Sleep(stableWindow)
	behind := -1
	for i, d := range e.doors {
		if !d.waiting() {
			behind = i
		}
	}
	if behind < 0 {
		return false, errAllWait
	}
	if e.trouble {
		e.record.logf("the store turns %s away for %v", e.vms[behind].id, turnedAway)
		e.doors[behind].turnAway(turnedAway)
	}
	sound := time.Now().Add(turnedAway)
	time.Sleep(lead)
	for i := 1; i < changes; i++ {
		e.configure(configText(firstVersion+1+i, hostelsKeys, routes))
		time.Sleep(gap)
	}
	e.configure(configText(firstVersion+1+changes, noKeys, routes))
	time.Sleep(time.Until(sound) + stableWindow + configApply)
	late := 0
	for i := range tries {
		if e.ask(e.vms[behind], request{
			method: "GET",
			path:   "/notes/list",
			id:     fmt.Sprintf("late-%d", i),
			key:    hostelsKey,
		}) == http.StatusOK {
			late++
		}
		time.Sleep(pause)
	}
	e.record.logf("%d of %d requests with the key that was taken away were served", late, tries)

	return late > 0, nil
}
