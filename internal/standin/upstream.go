package standin

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// DefaultSlots is the number of requests that a target runs at once.
	DefaultSlots = 4
	// defaultWork is the service time of a request without faults.
	defaultWork = 5 * time.Millisecond
	// queueFactor bounds the waiting requests, as a multiple of the slots.
	queueFactor  = 4
	maxBodyBytes = 1 << 20
)

// UpstreamFaults are the faults of a target, as set by PUT /_standin/faults.
type UpstreamFaults struct {
	// WorkMs is the service time of a request; 0 means defaultWork.
	WorkMs int `json:"workMs"`
	// SlowShare is the share of requests, from 0 to 1, whose service time is SlowMs
	// instead.
	SlowShare float64 `json:"slowShare"`
	SlowMs    int     `json:"slowMs"`
	// ErrorShare is the share of requests, from 0 to 1, that fail with status 500.
	ErrorShare float64 `json:"errorShare"`
	// Hang holds every request in its slot, without a response, until the client
	// disconnects.
	Hang bool `json:"hang"`
	// Drain refuses new requests with status 503 and "Upstream-State: draining".
	Drain bool `json:"drain"`
	// CutShare, DoubleShare and ResetShare are the shares of responses, together at most
	// 1, that are truncated, are sent twice, or are missing because the connection is
	// reset.
	CutShare    float64 `json:"cutShare"`
	DoubleShare float64 `json:"doubleShare"`
	ResetShare  float64 `json:"resetShare"`
}

// Run is the record of one request that a target ran.
type Run struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Token is the value of the header field Test-Token, which identifies the request.
	Token string `json:"token"`
	// AtMicros is the start of the run in microseconds of Unix time.
	AtMicros int64 `json:"atMicros"`
	// Fields are the header fields that the target received.
	Fields map[string][]string `json:"fields"`
}

// Upstream is a stand-in for one target.
type Upstream struct {
	name  string
	slots chan struct{}
	mu    sync.Mutex
	// waiting is the number of requests that wait for a slot.
	waiting int
	faults  UpstreamFaults
	runs    []Run
	// refused counts the requests that were refused because too many waited, or because
	// the target was draining.
	refused int
	// runLog gets a line for each run; nil stands for none.
	runLog io.Writer
}

// NewUpstream returns a target that runs the given number of requests at once.
func NewUpstream(name string, slots int) *Upstream {
	return &Upstream{
		name:  name,
		slots: make(chan struct{}, slots),
	}
}

// Handler returns the HTTP interface: paths below /_standin control the stand-in, and
// all others are requests to the target.
func (u *Upstream) Handler() Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /_standin/faults", u.setFaults)
	mux.HandleFunc("GET /_standin/runs", u.listRuns)
	mux.HandleFunc("GET /_standin/counts", u.listCounts)
	mux.HandleFunc("/", u.serve)

	return mux
}

// SetFaults switches the faults.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// Runs returns the records of all requests that the target ran.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()

	return append([]Run{}, u.runs...)
}

func (u *Upstream) setFaults(w http.ResponseWriter, r *http.Request) {
	var f UpstreamFaults
	if readJSON(w, r, &f) {
		u.SetFaults(f)
	}
}

// attemptField identifies an attempt at an upstream, which returns it.
const attemptField = "Lagoonkeel-Attempt-Id"

func (u *Upstream) listRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, u.Runs())
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(attemptField, r.Header.Get(attemptField))
	f, admitted := u.startWaiting()
	if f.Drain || !admitted {
		state := "shed"
		if f.Drain {
			state = "draining"
		}
		w.Header().Set("Upstream-State", state)
		http.Error(w, state, http.StatusServiceUnavailable)

		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		u.stopWaiting()

		return
	}
	u.slots <- struct{}{}
	u.stopWaiting()
	defer func() { <-u.slots }()
	u.record(r)
	crash(r)
	u.work(w, r, f, body)
}

// startWaiting counts a request that waits for a slot. It returns the faults, and false
// if the target drains or too many requests wait.
func (u *Upstream) startWaiting() (UpstreamFaults, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.Drain || u.waiting >= queueFactor*cap(u.slots) {
		u.refused++

		return u.faults, false
	}
	u.waiting++

	return u.faults, true
}

func (u *Upstream) stopWaiting() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting--
}

func (u *Upstream) record(r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.printRun(r.Header.Get("Test-Token"))
	u.runs = append(u.runs, Run{
		Method:   r.Method,
		Path:     r.URL.RequestURI(),
		Token:    r.Header.Get("Test-Token"),
		AtMicros: time.Now().UnixMicro(),
		Fields:   r.Header,
	})
}

func (u *Upstream) work(w http.ResponseWriter, r *http.Request, f UpstreamFaults, body []byte) {
	d := defaultWork
	if f.WorkMs > 0 {
		d = time.Duration(f.WorkMs) * time.Millisecond
	}
	if rand.Float64() < f.SlowShare { //nolint:gosec // Draws a fault, not a secret.
		d = time.Duration(f.SlowMs) * time.Millisecond
	}
	if f.Hang {
		<-r.Context().Done()

		return
	}
	select {
	case <-time.After(d):
	case <-r.Context().Done():
		return
	}
	if rand.Float64() < f.ErrorShare { //nolint:gosec // Draws a fault, not a secret.
		http.Error(w, "failed", http.StatusInternalServerError)

		return
	}
	if u.sendFaultyResponse(w, r, f) {
		return
	}
	w.Header().Set("Test-Target", u.name)
	w.Header().Set("Test-Token", r.Header.Get("Test-Token"))
	writeJSON(w, echoJSON{
		Target: u.name,
		Method: r.Method,
		Path:   r.URL.RequestURI(),
		Token:  r.Header.Get("Test-Token"),
		Bytes:  len(body),
	})
}

type echoJSON struct {
	Target string `json:"target"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Token  string `json:"token"`
	Bytes  int    `json:"bytes"`
}
