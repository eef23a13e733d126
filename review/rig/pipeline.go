package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["pipeline"] = pipeline }

const (
	// lossSlack is the bound lossSlackMs.
	lossSlack = 200 * time.Millisecond
	// pipelineConns is the number of consumers, and pipelineRequests the number of
	// requests that each sends one after the other.
	pipelineConns    = 10
	pipelineRequests = 3
	// pipelineWork is how long a target works on a request.
	pipelineWork = 700 * time.Millisecond
	// pipelineDeadline is the time budget.
	pipelineDeadline = 5 * time.Second
)

// pipeline: consumers send three safe requests on one kept connection without waiting for
// the answers. The disruption: SIGTERM of the VM that has read them.
func pipeline(c *Case) verdict {
	c.publish(1)
	for i := range 10 {
		NewTarget(fmt.Sprintf("n%d", i+1), "notes", c.store, c.log).Work = pipelineWork
	}
	c.startVMs(2, 648)
	time.Sleep(stableWindow + touchSlack)
	v := c.vms[0]
	var group sync.WaitGroup
	var mu sync.Mutex
	broke := 0
	for i := range pipelineConns {
		group.Add(1)
		go func() {
			defer group.Done()
			n := c.sendPipelined(v, i)
			mu.Lock()
			broke += n
			mu.Unlock()
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if c.trouble {
		v.Stop(graceTime)
	}
	group.Wait()
	c.log.Add("rig", "-", "requests that were read and got no answer, on connections that ended later than %v after their last byte: %d of %d",
		lossSlack, broke, pipelineConns*pipelineRequests)
	if broke > 0 {
		return broken
	}
	return held
}

// sendPipelined sends the requests of one consumer and returns how many of them break the
// rule.
func (c *Case) sendPipelined(v *VM, consumer int) int {
	conn, err := net.DialTimeout("tcp", v.Callers, time.Second)
	if err != nil {
		cannotRun("%v", err)
	}
	defer conn.Close()
	var text bytes.Buffer
	for i := range pipelineRequests {
		id := fmt.Sprintf("p-%d-%d", consumer, i)
		text.Write(head(key, http.MethodGet, "/notes/today", id, pipelineDeadline, 0))
		c.log.Add("consumer", v.Name, "sent id=%s", id)
	}
	if _, err := conn.Write(text.Bytes()); err != nil {
		cannotRun("%v", err)
	}
	sent := time.Now()
	_ = conn.SetReadDeadline(sent.Add(10 * time.Second))
	reader := bufio.NewReader(conn)
	broke := 0
	for i := range pipelineRequests {
		id := fmt.Sprintf("p-%d-%d", consumer, i)
		r := readAnswer(reader, http.MethodGet)
		c.log.Add("consumer", v.Name, "answered id=%s %s", id, r)
		// A connection that is closed with unread bytes is reset: here, all was read.
		unread := errors.Is(r.Err, syscall.ECONNRESET)
		if r.Err != nil && !unread && time.Since(sent) > lossSlack {
			broke++
		}
	}
	return broke
}
