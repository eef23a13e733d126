package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// VM is one process of the project, started with the command of the deploy file.
type VM struct {
	Name      string
	Callers   string
	Peers     string
	Operators string
	// MemoryMB is the machine's memory.
	MemoryMB int
	// Settings is the path of the settings file.
	Settings string

	log  *Log
	dir  string
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	out  *os.File
}

const (
	// firstPort is the first of the ports that the cases use, below those that the system
	// gives to outgoing connections. They are divided into blocks.
	firstPort  = 12000
	blockPorts = 300
	blocks     = 60
)

// portBlock hands out the ports of a block, each once. Its first port is held until the
// process ends, so that no other run takes a port of the block, also not that of a target
// which is down.
type portBlock struct {
	mu   sync.Mutex
	held net.Listener
	next int
}

var ports portBlock

// claim holds a block that no other run has.
func (b *portBlock) claim() {
	for _, i := range rand.Perm(blocks) {
		first := firstPort + i*blockPorts
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			b.held, b.next = ln, first+1
			return
		}
	}
	cannotRun("no block of ports is free")
}

// freePort returns a loopback address with a port that is free for TCP and UDP.
func freePort() string {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.held == nil {
		ports.claim()
	}
	for {
		if (ports.next-firstPort)%blockPorts == 0 {
			cannotRun("the block has no free port left")
		}
		address := fmt.Sprintf("127.0.0.1:%d", ports.next)
		ports.next++
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		pc, err := net.ListenPacket("udp", address)
		_ = ln.Close()
		if err == nil {
			_ = pc.Close()
			return address
		}
	}
}

// NewVM writes the settings as deploy/settings.json.tmpl renders them.
func NewVM(name, dir string, s *Store, memoryMB int, l *Log) *VM {
	v := &VM{
		Name: name, Callers: freePort(), Peers: freePort(), Operators: freePort(), MemoryMB: memoryMB,
		log: l, dir: dir, Settings: filepath.Join(dir, name+".json"),
	}
	text := fmt.Sprintf(`{"id": %q, "dataCentre": "z1", "region": "r1", "logFormat": "logfmt", "maxBodyBytes": 67108864,
 "memoryMB": %d, "stopGraceMs": 3000,
 "listen": {"callers": %q, "peers": %q, "operators": %q, "metrics": %q},
 "retries": {"perRequest": 0.2, "extra": 62, "windowSeconds": 10},
 "placement": {"assignTargets": true},
 "platform": {"store": %q, "readyPath": "/v1/ready", "relayedRecordKB": 48}}
`, name, memoryMB, v.Callers, v.Peers, v.Operators, freePort(), s.Address)
	if err := os.WriteFile(v.Settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	return v
}

// starts carries out the starts of processes on the thread of TestMain.
var starts = make(chan func())

// Start starts the process.
func (v *VM) Start() {
	started := make(chan struct{})
	starts <- func() {
		defer close(started)
		v.start()
	}
	<-started
}

func (v *VM) start() {
	out, err := os.OpenFile(filepath.Join(v.dir, v.Name+".out"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	words := strings.Fields(deployCommand())
	cmd := exec.Command(filepath.Join(root, words[0]), words[1:]...)
	cmd.Dir = root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LAGOONKEEL_BOOT=" + v.Settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	done := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.done, v.out = cmd, done, out
	v.mu.Unlock()
	v.log.Add("vm", v.Name, "started pid=%d", cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		v.log.Add("vm", v.Name, "ended: %v", err)
		_ = out.Close()
		close(done)
	}()
}

// Pid returns the id of the process.
func (v *VM) Pid() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cmd.Process.Pid
}

// Done is closed once the process has ended.
func (v *VM) Done() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.done
}

// Signal sends a signal to the process.
func (v *VM) Signal(s os.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.cmd.Process.Signal(s)
}

// Kill ends the process and waits for its end.
func (v *VM) Kill() {
	v.Signal(syscall.SIGKILL)
	<-v.Done()
}

// Stop sends SIGTERM, and SIGKILL after the grace time, as the platform does.
func (v *VM) Stop(grace time.Duration) {
	v.log.Add("vm", v.Name, "SIGTERM")
	v.Signal(syscall.SIGTERM)
	select {
	case <-v.Done():
	case <-time.After(grace):
		v.log.Add("vm", v.Name, "SIGKILL after the grace time")
		v.Kill()
	}
}

// Ready asks the process whether it is ready, as the platform does.
func (v *VM) Ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + v.Operators + "/v1/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// AwaitReady waits until the process is ready.
func (v *VM) AwaitReady() {
	for range 200 {
		if v.Ready() {
			v.log.Add("vm", v.Name, "ready")
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	cannotRun("VM %s is not ready after 10 s", v.Name)
}
