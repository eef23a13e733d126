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
	server *http.Server
}

// newOperators returns the controller that serves the pages.
func newOperators(ln net.Listener, pages http.Handler) *operators {
	return &operators{
		ln: ln,
		server: &http.Server{
			Handler:           pages,
			ReadHeaderTimeout: headerTimeout,
		},
	}
}

// pages returns what operators of the VM may ask for.
func (v *VM) pages() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", readiness(v.Ready))
	mux.HandleFunc("GET /live", live)
	mux.HandleFunc("GET /status", v.serveStatus)
	mux.HandleFunc("GET /targets", v.serveTargets)
	mux.HandleFunc("GET /rates", v.serveRates)
	mux.HandleFunc("GET /metrics", v.serveMetrics)

	return mux
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

// readiness answers whether the VM may get callers' requests.
func readiness(ready func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)

			return
		}
		_, _ = w.Write([]byte("ready\n")) // The balancer may have gone.
	}
}

func live(w http.ResponseWriter, _ *http.Request) {
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

func (v *VM) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(statusJSON{ // The operator may have gone.
		ID:      v.settings.ID(),
		Version: int64(v.follower.Manifest().Version()),
		Ready:   v.Ready(),
		Next:    int64(v.follower.Position().Next()),
		Fresh:   v.timers.Now().Before(v.follower.FreshUntil()),
		Members: v.members(),
		Epoch:   v.member.View().Epoch(),
		Ranges:  v.member.ActiveCount(),
		Time:    time.Now().UTC().Format(time.RFC3339Nano),
	})
}

func (v *VM) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	v.meter.WriteJSON(w)
}
