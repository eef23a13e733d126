package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// quick is the work of most requests.
const quick = 20 * time.Millisecond

// startFleet starts targets of both services and VMs.
func (e *environment) startFleet(vms int, notes workFunc) error {
	e.configure(configText(7, `["`+hostelsKey+`"]`))
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
	if e.trouble {
		entry := fmt.Sprintf(`{"address":%q,"info":{"service":"bookings","slots":%d},"status":{"state":"ready"}}`, odd.address(), targetSlots)
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

// stopBehind sends a quick request and a slow one, in the given order, on one connection
// at once, stops the VM while the slow one runs, and returns the status of each.
func (e *environment) stopBehind(first, second request) (statuses [2]int, err error) {
	const runTime = time.Second
	c, err := e.connect(e.vms[0])
	if err != nil {
		return statuses, err
	}
	defer c.close()
	if err := c.send(first.text(), second.text()); err != nil {
		return statuses, err
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if e.trouble {
			time.Sleep(runTime)
			e.vms[0].stop(e.record)
		}
	}()
	for i, q := range []request{first, second} {
		if statuses[i] = c.receive(q.id); statuses[i] == 0 {
			break
		}
	}
	<-stopped

	return statuses, nil
}

// withheldAnswer plays a planned stop of a VM while a lookup takes longer than the grace
// time, behind a request whose target answered at once. It is broken if that request gets
// no answer.
func withheldAnswer(e *environment) (bool, error) {
	if err := e.startFleet(1, notesWork(8*time.Second)); err != nil {
		return false, err
	}
	statuses, err := e.stopBehind(request{
		method: "PUT",
		path:   "/notes/list",
		id:     "quick",
		body:   "which caps are safe",
	}, request{
		method: "GET",
		path:   slowNote,
		id:     "slow",
	})

	return statuses[0] == 0, err
}

// unansweredBehind plays a planned stop of a VM that has read two requests from a
// connection and runs the first. It is broken if the second gets no answer.
func unansweredBehind(e *environment) (bool, error) {
	if err := e.startFleet(1, notesWork(3*time.Second)); err != nil {
		return false, err
	}
	statuses, err := e.stopBehind(request{
		method: "GET",
		path:   slowNote,
		id:     "slow",
	}, request{
		method: "GET",
		path:   "/notes/list",
		id:     "quick",
	})

	return statuses[1] == 0, err
}

// lostPoll plays a store that answers no call for a moment, which begins with a call that
// waits for changes. It is broken if a key still opens a route later than configApplyMs
// after it was taken away, although the store has been sound for stableWindowMs before.
func lostPoll(e *environment) (bool, error) {
	const (
		silence = 300 * time.Millisecond
		// longWait is the least wait of the call that the silence hits.
		longWait     = 5200 * time.Millisecond
		stableWindow = 3 * time.Second
		configApply  = 2 * time.Second
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
	e.configure(configText(8, "[]"))
	acknowledged := time.Now()
	time.Sleep(configApply)
	late := 0
	for i := 0; time.Since(acknowledged) < configApply+watchTime; i++ {
		if e.ask(e.vms[0], request{
			method: "GET",
			path:   "/notes/list",
			id:     fmt.Sprintf("late-%d", i),
			key:    hostelsKey,
		}) == 200 {
			late++
		}
		time.Sleep(watchPause)
	}
	e.record.logf("%d requests with the key that was taken away were served", late)

	return late > 0, nil
}
