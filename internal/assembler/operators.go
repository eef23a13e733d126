package assembler

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// headerTimeout bounds the reading of an operator's request header.
const headerTimeout = 5 * time.Second

// operators serves readiness, liveness, status and metrics to operators and to
// the platform's balancer.
type operators struct {
	ln     net.Listener
	vm     *VM
	server *http.Server
}

func newOperators(ln net.Listener, vm *VM) *operators {
	o := &operators{
		ln: ln,
		vm: vm,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", o.ready)
	mux.HandleFunc("GET /live", o.live)
	mux.HandleFunc("GET /status", o.status)
	mux.HandleFunc("GET /targets", o.serveTargets)
	mux.HandleFunc("GET /rates", o.serveRates)
	mux.HandleFunc("GET /metrics", o.metrics)
	o.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
	}

	return o
}

// Name returns the controller's name.
func (o *operators) Name() string { return "operators" }

// Run serves until ctx ends.
func (o *operators) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() {
		failed <- o.server.Serve(o.ln)
	}()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serving operators")
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()

	return errors.Wrap(o.server.Shutdown(stop), "stopping the operators' listener")
}

func (o *operators) ready(w http.ResponseWriter, _ *http.Request) {
	if !o.vm.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)

		return
	}
	_, _ = w.Write([]byte("ready\n")) // The balancer may have gone.
}

func (o *operators) live(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("live\n")) // The balancer may have gone.
}

type statusJSON struct {
	ID      string `json:"id"`
	Version int64  `json:"version"`
	Ready   bool   `json:"ready"`
	// Next is the offset of the next record of the configuration stream.
	Next int64 `json:"next"`
	// Fresh tells whether the VM may decide keyed requests.
	Fresh   bool `json:"fresh"`
	Members int  `json:"members"`
	// Epoch is the number of the membership's epoch.
	Epoch uint64 `json:"epoch"`
	// Ranges is the number of ranges that the VM holds now.
	Ranges int    `json:"ranges"`
	Time   string `json:"time"`
}

func (o *operators) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(statusJSON{ // The operator may have gone.
		ID:      o.vm.settings.ID(),
		Version: int64(o.vm.follower.Manifest().Version()),
		Ready:   o.vm.Ready(),
		Next:    int64(o.vm.follower.Position().Next()),
		Fresh:   o.vm.timers.Now().Before(o.vm.follower.FreshUntil()),
		Members: o.vm.members(),
		Epoch:   o.vm.member.View().Epoch(),
		Ranges:  o.vm.member.ActiveCount(),
		Time:    time.Now().UTC().Format(time.RFC3339Nano),
	})
}

func (o *operators) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	o.vm.meter.WriteJSON(w)
}
