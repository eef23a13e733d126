package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// settleTime is how long the VMs hear each other before a case begins. It is the
// stableWindowMs of the site.
const settleTime = 3 * time.Second

// environment holds the stand-ins and the VMs of one case.
type environment struct {
	// dir holds the settings and the logs of the VMs.
	dir     string
	record  *record
	store   *store
	targets []*target
	vms     []*vm
	// linkRate is the bandwidth of each VM's link to the store, in bytes a second; 0 for no
	// limit. doors holds the links in the order of the VMs.
	linkRate float64
	doors    []*door
	// trouble is unset by TROUBLE=0: the case is then played without the disruption.
	trouble bool
}

func newEnvironment(path string) (*environment, error) {
	r, err := newRecord(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}

	return &environment{
		dir:     dir,
		record:  r,
		store:   s,
		trouble: os.Getenv("TROUBLE") != "0",
	}, nil
}

// end ends all processes and removes their files.
func (e *environment) end() {
	for _, v := range e.vms {
		v.end()
	}
	os.RemoveAll(e.dir)
	e.record.close()
}

// addTargets starts targets of a service, each with the work, and lists them.
func (e *environment) addTargets(service string, count int, work workFunc) error {
	for i := range count {
		t, err := startTarget(fmt.Sprintf("i-%s-%d", service, i+1), service, e.record, work)
		if err != nil {
			return err
		}
		e.targets = append(e.targets, t)
		go t.heartbeat(e.store)
		e.store.put(targetsTopic, t.id, t.entry())
	}

	return nil
}

// configure writes a configuration, as the operator does.
func (e *environment) configure(text string) {
	e.record.logf("the operator writes %d bytes: %.200s", len(text), text)
	e.store.put(configTopic, "config", []byte(text))
}

// startVMs starts VMs and waits until they are ready and hear each other.
func (e *environment) startVMs(count int) error {
	for i := range count {
		address, err := e.storeAddress()
		if err != nil {
			return err
		}
		v, err := newVM(e.dir, fmt.Sprintf("front-kandy-%d", i+1), address)
		if err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
		e.vms = append(e.vms, v)
		e.record.logf("%s starts; consumers reach it at %s", v.id, v.callers)
	}
	for _, v := range e.vms {
		if err := v.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)

	return nil
}

// storeAddress returns the address at which the next VM reaches the store: a door of its
// own where links have a limit.
func (e *environment) storeAddress() (string, error) {
	if e.linkRate == 0 {
		return e.store.address(), nil
	}
	d, err := openDoor(e.store, e.linkRate)
	if err != nil {
		return "", err
	}
	e.doors = append(e.doors, d)

	return d.ln.Addr().String(), nil
}

// runs returns all requests that targets ran.
func (e *environment) runs() []*arrival {
	var list []*arrival
	for _, t := range e.targets {
		list = append(list, t.list()...)
	}

	return list
}

// record is the file of what was sent, answered and run, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)

	return &record{
		file:  f,
		begun: time.Now(),
	}, err
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { r.file.Close() }
