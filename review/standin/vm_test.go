package standin

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// graceTime is the graceS of the site: the time from SIGTERM to SIGKILL.
	graceTime = 6 * time.Second
	// readyTimeout bounds the wait until a VM is ready.
	readyTimeout = 20 * time.Second
	readyPeriod  = 50 * time.Millisecond
)

var (
	errNoPort   = errors.New("no free port was found")
	errNotReady = errors.New("a VM did not get ready")
)

// vm is one process of the fleet.
type vm struct {
	id        string
	callers   string
	operators string
	settings  string
	log       string
	command   *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
}

// settingsFormat lays the settings out as deploy/settings.json.tmpl does.
const settingsFormat = `{"id": %q, "dataCentre": "kandy", "region": "central-hills", "logFormat": "logfmt", "maxBodyBytes": 67108864,
"memoryMB": 717, "stopGraceMs": 3000,
"listen": {"callers": %q, "peers": %q, "operators": %q, "metrics": %q},
"retries": {"perRequest": 0.2, "extra": 62, "windowSeconds": 10},
"platform": {"store": %q, "readyPath": "/v1/ready"}}
`

// newVM writes the settings of a VM on free loopback ports.
func newVM(dir, id, store string) (*vm, error) {
	var addresses [4]string
	for i := range addresses {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = a
	}
	v := &vm{
		id:        id,
		callers:   addresses[0],
		operators: addresses[2],
		settings:  filepath.Join(dir, id+".json"),
		log:       filepath.Join(dir, id+".log"),
	}
	text := fmt.Sprintf(settingsFormat, id, addresses[0], addresses[1], addresses[2], addresses[3], store)

	return v, os.WriteFile(v.settings, []byte(text), 0o600)
}

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() (string, error) {
	for range 50 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := ln.Addr().String()
		p, err := net.ListenPacket("udp", address)
		ln.Close()
		if err == nil {
			return address, p.Close()
		}
	}

	return "", errNoPort
}

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	v.command = exec.Command("target/lagoonkeel", "serve")
	v.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LAGOONKEEL_BOOT=" + v.settings}
	v.command.Stdout, v.command.Stderr = out, out
	if err := v.command.Start(); err != nil {
		return err
	}
	v.ended = make(chan struct{})
	go func() {
		v.command.Wait()
		close(v.ended)
	}()

	return nil
}

// awaitReady waits until the VM says that it is ready.
func (v *vm) awaitReady() error {
	c := http.Client{
		Timeout: time.Second,
	}
	for begun := time.Now(); time.Since(begun) < readyTimeout; time.Sleep(readyPeriod) {
		r, err := c.Get("http://" + v.operators + "/v1/ready")
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}

	return errNotReady
}

// stop stops the process as the platform does: with SIGTERM, and with SIGKILL once the
// grace time has passed.
func (v *vm) stop(r *record) {
	r.logf("SIGTERM to %s", v.id)
	v.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-v.ended:
		r.logf("%s has ended", v.id)
	case <-time.After(graceTime):
		r.logf("SIGKILL to %s", v.id)
		v.command.Process.Kill()
		<-v.ended
	}
}

// end ends the process if it is still running.
func (v *vm) end() {
	v.command.Process.Kill()
	<-v.ended
}
