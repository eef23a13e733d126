package rig

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["names"] = names }

const (
	// configApply is the bound configApplyMs.
	configApply = 2 * time.Second
	// secondKey is taken away by version 2, and newKey comes with it.
	secondKey = "fqasnmgkcuyj8pjbvk9m"
	newKey    = "kq2vhx7rdz4wma9nte5c"
	// namesLength is how long the case watches after the change.
	namesLength = 20 * time.Second
)

// names: a new version of the configuration adds a tenant whose name has a capital letter
// and an underscore, takes a key away and moves a route. Without the disruption, the
// tenant's name has neither.
func names(c *Case) verdict {
	tenant := "guides-ella"
	if c.trouble {
		tenant = "Guides_Ella"
	}
	publish := func(version int, notes, tenants string) {
		c.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,
 "routes":{"seats":{"host":%q,"pathPrefix":"/seats/","kind":"unsafe","timeoutMs":4000,"aimMs":1500,"priority":1,"service":"seats","maxAttempts":2,"public":false},
  "notes":{"host":%q,"pathPrefix":"/notes/","kind":"safe","timeoutMs":6000,"aimMs":2000,"priority":2,"service":%q,"maxAttempts":2,"public":false}},
 "services":{"seats":{"healthCheck":"/health","maxConnections":390,"protocol":"h1","tls":false},
  "notes":{"healthCheck":"/health","maxConnections":390,"protocol":"h1","tls":false},
  "notes2":{"healthCheck":"/health","maxConnections":390,"protocol":"h1","tls":false}},
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":{%s}}`, version, host, host, notes, tenants))
		c.log.Add("operator", "-", "version %d is acknowledged", version)
	}
	publish(1, "notes", fmt.Sprintf(`"guides":{"apiKeys":[%q,%q],"priority":1,"ratePerS":0,"burst":0}`, key, secondKey))
	ran := map[string]string{}
	for _, s := range []string{"seats", "notes", "notes2"} {
		for i := range 2 {
			t := NewTarget(fmt.Sprintf("%s-%d", s, i+1), s, c.store, c.log)
			t.Serve = func(call *Call) error {
				c.log.mu.Lock()
				ran[call.ID] = s
				c.log.mu.Unlock()
				return call.Answer(http.StatusOK, []byte("ok"))
			}
		}
	}
	c.startVMs(3, 648)
	time.Sleep(stableWindow + touchSlack)
	publish(7, "notes2", fmt.Sprintf(`"guides":{"apiKeys":[%q],"priority":1,"ratePerS":0,"burst":0},%q:{"apiKeys":[%q],"priority":1,"ratePerS":0,"burst":0}`, key, tenant, newKey))
	acked := time.Now()
	time.Sleep(configApply + 100*time.Millisecond)
	stale, total := 0, 0
	for n := 0; time.Since(acked) < namesLength; n++ {
		for _, v := range c.vms {
			for what, k := range map[string]string{"dropped": secondKey, "new": newKey, "moved": key} {
				id := fmt.Sprintf("%s-%s-%d", what, v.Name, n)
				r := sendWith(c.log, v, k, http.MethodGet, "/notes/today", id, 3*time.Second, nil)
				c.log.mu.Lock()
				service, didRun := ran[id]
				c.log.mu.Unlock()
				total++
				switch {
				case what == "dropped" && didRun, what == "moved" && service == "notes", what == "new" && r.Status == http.StatusUnauthorized:
					stale++
					c.log.Add("rig", v.Name, "id=%s is handled as only version 1 allows, %v after the ack of version 7: status=%d, ran at %q", id, time.Since(acked).Round(time.Millisecond), r.Status, service)
				}
			}
		}
		time.Sleep(time.Second)
	}
	c.log.Add("rig", "-", "requests sent later than %v after the ack: %d, handled as only the older version allows: %d", configApply, total, stale)
	if stale > 0 {
		return broken
	}
	return held
}
