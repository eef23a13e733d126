package rig

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = memory }

const (
	// machineMB is the memory of a machine: the smallest of the sheet of Placa Viva.
	machineMB = 136
	// uploadBytes is the size of an order's files; the configuration allows 64 MiB.
	uploadBytes = 8 << 20
	// uploadGap is the time between two orders at one VM.
	uploadGap = 450 * time.Millisecond
	// uploadTime is the time in which an order is sent: 168 Mbit/s.
	uploadTime = 400 * time.Millisecond
	// slowRead is how long a slow target takes to read one order.
	slowRead = 8 * time.Second
	// orderDeadline is the time budget of an order, and of its route.
	orderDeadline = 15 * time.Second
	// fatalEnds is the number of ends on one machine that breaks the rule.
	fatalEnds = 3
	// memoryLength is the length of the case.
	memoryLength = 90 * time.Second
)

// memory: two VMs on machines with 136 MB of memory pass on orders with files of 8 MiB.
// The disruption: targets read slowly.
func memory(c *Case) verdict {
	c.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":1,
 "routes":{"orders":{"host":%q,"pathPrefix":"/orders/","kind":"unsafe","timeoutMs":15000,"aimMs":1500,"priority":1,"service":"orders","maxAttempts":2,"public":false}},
 "services":{"orders":{"healthCheck":"/health","maxConnections":1974,"protocol":"h1","tls":false}},
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":{"guides":{"apiKeys":[%q],"priority":1,"ratePerS":0,"burst":0}}}`, host, key))
	for i := range 12 {
		t := NewTarget(fmt.Sprintf("o%d", i+1), "orders", c.store, c.log)
		if c.trouble {
			t.ReadBody = readSlowly
		}
	}
	c.startVMs(2, machineMB)
	ends := make([]atomic.Int32, len(c.vms))
	var lost, answered, refused atomic.Int32
	stop := time.After(memoryLength)
	ended := make(chan struct{})
	var group sync.WaitGroup
	for i, v := range c.vms {
		go c.enforceMemory(v, &ends[i], ended)
		group.Add(1)
		go func() {
			defer group.Done()
			ticker := time.NewTicker(uploadGap)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-ended:
					return
				case <-ticker.C:
				}
				go func() {
					r := sendOrder(c.log, v, fmt.Sprintf("order-%s-%d", v.Name, n))
					switch {
					case r.Err != nil:
						lost.Add(1)
					case r.Status == http.StatusOK:
						answered.Add(1)
					default:
						refused.Add(1)
					}
				}()
			}
		}()
	}
	for done := false; !done; {
		select {
		case <-stop:
			done = true
		case <-time.After(100 * time.Millisecond):
			done = ends[0].Load() >= fatalEnds && ends[1].Load() >= fatalEnds
		}
	}
	close(ended)
	group.Wait()
	c.log.Add("rig", "-", "ends for want of memory: %d and %d; orders answered with 200: %d, refused: %d, cut without an answer: %d",
		ends[0].Load(), ends[1].Load(), answered.Load(), refused.Load(), lost.Load())
	if ends[0].Load() >= fatalEnds && ends[1].Load() >= fatalEnds {
		return broken
	}
	return held
}

// sendOrder sends one order at an even pace and reads the answer.
func sendOrder(l *Log, v *VM, id string) Result {
	const steps = 40
	l.Add("consumer", v.Name, "sent id=%s method=POST path=/orders/new bytes=%d", id, uploadBytes)
	r := func() Result {
		conn, err := net.DialTimeout("tcp", v.Callers, time.Second)
		if err != nil {
			return Result{Err: err}
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(orderDeadline + 2*time.Second))
		if _, err := conn.Write(head(key, http.MethodPost, "/orders/new", id, orderDeadline, uploadBytes)); err != nil {
			return Result{Err: err}
		}
		part := bytes.Repeat([]byte("g"), uploadBytes/steps)
		rest := uploadBytes
		for rest > 0 {
			n, err := conn.Write(part[:min(len(part), rest)])
			if err != nil {
				break // The VM may have answered already.
			}
			rest -= n
			time.Sleep(uploadTime / steps)
		}
		return readAnswer(bufio.NewReader(conn), http.MethodPost)
	}()
	l.Add("consumer", v.Name, "answered id=%s %s", id, r)
	return r
}

// readSlowly reads a body at an even pace over slowRead.
func readSlowly(r *http.Request) ([]byte, error) {
	const steps = 100
	buffer := make([]byte, max(1, int(r.ContentLength)/steps))
	total := 0
	for {
		n, err := io.ReadFull(r.Body, buffer)
		total += n
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return make([]byte, 0, total), nil
		}
		if err != nil {
			return nil, err
		}
		time.Sleep(slowRead / steps)
	}
}

// enforceMemory kills the process of the VM once its anonymous memory exceeds that of the
// machine, as the platform does, and starts it again.
func (c *Case) enforceMemory(v *VM, ends *atomic.Int32, ended <-chan struct{}) {
	peak := 0
	defer func() { c.log.Add("platform", v.Name, "peak memory %d KiB", peak) }()
	for {
		select {
		case <-ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := anonymousKiB(v.Pid())
		peak = max(peak, used)
		if used <= v.MemoryMB<<10 {
			continue
		}
		c.log.Add("platform", v.Name, "killed: the process holds %d KiB, the machine has %d MB", used, v.MemoryMB)
		v.Kill()
		ends.Add(1)
		time.Sleep(500 * time.Millisecond)
		v.Start()
		v.AwaitReady()
	}
}

// anonymousKiB returns the anonymous resident memory of the process; files that it maps
// are not counted.
func anonymousKiB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return n
		}
	}
	return 0
}
