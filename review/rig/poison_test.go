package rig

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["poison"] = poison }

const (
	// fleetVMs is the number of VMs, and restarts the number of those that are restarted
	// in turn: a share of 0.43, below the 0.45 of the site file.
	fleetVMs = 14
	restarts = 6
	// stableWindow is the bound stableWindowMs.
	stableWindow = 3 * time.Second
	// touchSlack is the time beyond stableWindow that the case waits.
	touchSlack = 600 * time.Millisecond
	// graceTime is the bound graceS.
	graceTime = 6 * time.Second
	// backAfter is how long a crashed target is away.
	backAfter = 2500 * time.Millisecond
	// allowedRetries is the number of retries that may reach targets after the third crash.
	allowedRetries = 3
)

// crashLog holds what the targets have seen of the request that crashes them.
type crashLog struct {
	mu      sync.Mutex
	crashes []time.Time
	reached map[string]time.Time
}

// poison: one request crashes each target that begins to run it, and comes again with the
// same path, caller and body. The disruption: VMs are stopped and started in turn.
func poison(c *Case) verdict {
	c.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":1,
 "routes":{"notes":{"host":%q,"pathPrefix":"/notes/","kind":"safe","timeoutMs":4000,"aimMs":1500,"priority":2,"service":"desk","maxAttempts":2,"public":false},
  "seats":{"host":%q,"pathPrefix":"/seats/","kind":"unsafe","timeoutMs":4000,"aimMs":1500,"priority":1,"service":"desk","maxAttempts":2,"public":false}},
 "services":{"desk":{"healthCheck":"/health","maxConnections":390,"protocol":"h1","tls":false}},
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":{"guides":{"apiKeys":[%q],"priority":1,"ratePerS":0,"burst":0}}}`, host, host, key))
	crashes := &crashLog{reached: map[string]time.Time{}}
	for i := range 10 {
		t := NewTarget(fmt.Sprintf("d%d", i+1), "desk", c.store, c.log)
		t.Serve = func(call *Call) error { return c.servePoison(call, crashes) }
	}
	c.startVMs(fleetVMs, 648)
	time.Sleep(stableWindow + touchSlack)
	var lost, sent atomic.Int32
	stopTraffic := make(chan struct{})
	go c.bookings(stopTraffic, &sent, &lost)

	// The request comes for the first time, and then at every VM.
	n := 0
	comeAgain := func(v *VM) time.Time {
		n++
		at := time.Now()
		send(c.log, v, http.MethodGet, "/notes/poison", fmt.Sprintf("poison-%d", n), 6*time.Second, nil)
		return at
	}
	comeAgain(c.vms[0])
	time.Sleep(backAfter + time.Second)
	for _, v := range c.vms {
		comeAgain(v)
	}
	sentAt := map[string]time.Time{}
	for _, v := range c.vms[:restarts] {
		if c.trouble {
			v.Stop(graceTime)
			v.Start()
			v.AwaitReady()
		} else {
			time.Sleep(3500 * time.Millisecond)
		}
		time.Sleep(stableWindow + touchSlack) // The VM is in touch from now on.
		at := comeAgain(v)
		sentAt[fmt.Sprintf("poison-%d", n)] = at
	}
	close(stopTraffic)
	time.Sleep(time.Second)
	return c.judgePoison(crashes, sentAt, sent.Load(), lost.Load())
}

// servePoison crashes the target if the request is the one that crashes targets.
func (c *Case) servePoison(call *Call, l *crashLog) error {
	t := call.Target
	if !strings.HasSuffix(call.HTTP.URL.Path, "/poison") {
		time.Sleep(300 * time.Millisecond)
		return call.Answer(http.StatusOK, bytes.Repeat([]byte("x"), 300))
	}
	now := time.Now()
	l.mu.Lock()
	l.crashes = append(l.crashes, now)
	l.reached[call.ID] = now
	l.mu.Unlock()
	c.log.Add("target", t.ID, "crashed while it ran id=%s", call.ID)
	t.Crash()
	time.AfterFunc(backAfter, func() {
		c.log.Add("target", t.ID, "is back")
		t.Start()
	})
	return fmt.Errorf("crashed")
}

// bookings sends bookings to the VMs that are not restarted.
func (c *Case) bookings(stop <-chan struct{}, sent, lost *atomic.Int32) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		v := c.vms[restarts+i%(fleetVMs-restarts)]
		go func() {
			sent.Add(1)
			if r := send(c.log, v, http.MethodPost, "/seats/new", fmt.Sprintf("seat-%d", i), 6*time.Second, []byte("seat")); r.Status != http.StatusOK {
				lost.Add(1)
			}
		}()
	}
}

// judgePoison counts the retries that reached targets later than stableWindow after the
// third crash.
func (c *Case) judgePoison(l *crashLog, sentAt map[string]time.Time, sent, lost int32) verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for id, at := range sentAt {
		if _, reached := l.reached[id]; reached && len(l.crashes) >= 3 && at.Sub(l.crashes[2]) > stableWindow {
			count++
		}
	}
	c.log.Add("rig", "-", "crashes: %d; retries that reached targets later than %v after the third crash, sent by VMs in touch: %d, allowed: %d; bookings: %d, not served: %d",
		len(l.crashes), stableWindow, count, allowedRetries, sent, lost)
	if count > allowedRetries {
		return broken
	}
	return held
}
