// Package rig runs the cases 6, 8 and 9 of the review: it starts stand-ins for the
// platform's store, targets and consumers on loopback addresses, and processes of the
// project. Its code is in test files, which the check of the platform's words leaves out.
package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// root is the root of the repository.
var root string

// Log collects the lines of record.txt.
type Log struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

// NewLog creates the file.
func NewLog(path string) *Log {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("%v", err)
	}
	return &Log{start: time.Now(), file: f}
}

// Add adds a line.
func (l *Log) Add(kind, who, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.file, "%9.3f %-8s %-6s %s\n", time.Since(l.start).Seconds(), kind, who, fmt.Sprintf(format, args...))
}

// Close writes the file.
func (l *Log) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.file.Close()
}

// Case is one case of the review.
type Case struct {
	log   *Log
	dir   string
	store *Store
	// trouble is false where the disruption is left out.
	trouble bool
	vms     []*VM
}

// verdict is the exit code of a case.
type verdict int

const (
	held    verdict = 0
	broken  verdict = 1
	noTrial verdict = 2
)

// cannotRun ends the process because the case cannot run. The processes that it started
// end with it.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	os.Exit(int(noTrial))
}

var cases = map[string]func(c *Case) verdict{}

// TestMain plays the case that the first argument names; the second one is its folder.
func TestMain(*testing.M) {
	// Processes of the project are started by this thread alone and end with it.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: rig CASE FOLDER, in the root of the repository")
	}
	var err error
	if root, err = os.Getwd(); err != nil {
		cannotRun("%v", err)
	}
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		cannotRun("%v", err)
	}
	c := &Case{
		log:     NewLog(filepath.Join(os.Args[2], "record.txt")),
		dir:     dir,
		trouble: os.Getenv("TROUBLE") != "0",
	}
	time.AfterFunc(115*time.Second, func() { cannotRun("the case takes more than 115 s") })
	c.store = NewStore()
	var v verdict
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		v = cases[os.Args[1]](c)
		for _, m := range c.vms {
			m.Kill()
		}
	}()
	for done := false; !done; {
		select {
		case start := <-starts:
			start()
		case <-ended:
			done = true
		}
	}
	c.log.Add("rig", "-", "exit code %d", v)
	c.log.Close()
	_ = os.RemoveAll(dir)
	os.Exit(int(v))
}

// deployCommand returns the command of the role in deploy/system.toml.
func deployCommand() string {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		cannotRun("%v", err)
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(data)
	if m == nil {
		cannotRun("deploy/system.toml has no command")
	}
	return strings.TrimSpace(string(m[1]))
}

// startVMs starts n VMs and waits until all are ready.
func (c *Case) startVMs(n, memoryMB int) {
	for i := range n {
		v := NewVM(fmt.Sprintf("vm-%d", i+1), c.dir, c.store, memoryMB, c.log)
		v.Start()
		c.vms = append(c.vms, v)
	}
	for _, v := range c.vms {
		v.AwaitReady()
	}
}

// publish writes a configuration with one unsafe route, /seats/, and one safe one,
// /notes/.
func (c *Case) publish(version int) {
	c.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,
 "routes":{"seats":{"host":%q,"pathPrefix":"/seats/","kind":"unsafe","timeoutMs":4000,"aimMs":1500,"priority":1,"service":"seats","maxAttempts":2,"public":false},
  "notes":{"host":%q,"pathPrefix":"/notes/","kind":"safe","timeoutMs":6000,"aimMs":2000,"priority":2,"service":"notes","maxAttempts":2,"public":false}},
 "services":{"seats":{"healthCheck":"/health","maxConnections":390,"protocol":"h1","tls":false},"notes":{"healthCheck":"/health","maxConnections":390,"protocol":"h1","tls":false}},
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":{"guides":{"apiKeys":[%q],"priority":1,"ratePerS":0,"burst":0}}}`, version, host, host, key))
}
